package replicaset

import "time"

// commitsHeld reports whether this host must not acknowledge commits, because the primary may
// be about to be replaced by a member without them, and since when.
func (s *Set) commitsHeld() (time.Duration, bool) {
	if s.holdsCommits == nil {
		return 0, false
	}
	return s.holdsCommits()
}

// CommitsReleased wakes the statements that wait because commits were not acknowledged.
func (s *Set) CommitsReleased() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.primaryChanged)
	s.primaryChanged = make(chan struct{})
}
