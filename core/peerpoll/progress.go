package peerpoll

import (
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

// Progress is what a host knows of the store.
type Progress struct {
	// Revision is that of the host's copy.
	Revision store.Revision
	// ConfigVersion is the version of the active configuration; zero for none.
	ConfigVersion uint64
	// ReachesStore is set if the store or a relay answers the host, so that its copy is
	// recent.
	ReachesStore bool
}

// Answer is a host's answer to the question what it knows.
type Answer struct {
	Host gates.Host
	// Progress is nil for a host of an earlier release, which does not tell.
	Progress *Progress
}

// ChangesSource returns the host from which to fetch the changes after own.Revision: the
// one with the newest revision among those that reach the store, or else one that does
// not tell. It returns false if no host may have any.
func ChangesSource(own Progress, answers []Answer) (gates.Host, bool) {
	var source gates.Host
	newest, found := own.Revision, false
	for _, a := range answers {
		switch p := a.Progress; {
		case p == nil:
			if !found {
				source, found = a.Host, true
			}
		case p.ReachesStore && p.Revision > newest:
			source, newest, found = a.Host, p.Revision, true
		}
	}
	return source, found
}

// ConfigSource returns the host from which to fetch a configuration above
// own.ConfigVersion: the one with the newest version, whether it reaches the store or
// not. It returns false if no host has one.
func ConfigSource(own Progress, answers []Answer) (gates.Host, bool) {
	var source gates.Host
	newest, found := own.ConfigVersion, false
	for _, a := range answers {
		if a.Progress != nil && a.Progress.ConfigVersion > newest {
			source, newest, found = a.Host, a.Progress.ConfigVersion, true
		}
	}
	return source, found
}

// Newest returns the newest revision and configuration version of all answers, and how
// many of the hosts reach the store.
func Newest(answers []Answer) (newest Progress, reachStore int) {
	for _, a := range answers {
		if a.Progress == nil {
			continue
		}
		newest.Revision = max(newest.Revision, a.Progress.Revision)
		newest.ConfigVersion = max(newest.ConfigVersion, a.Progress.ConfigVersion)
		if a.Progress.ReachesStore {
			reachStore++
		}
	}
	return newest, reachStore
}
