package health

import (
	"math"
	"time"
)

const (
	// minSuspectDelay is the shortest silence after which a member is probed. It covers
	// the queueing delay of a member whose queue is full, plus a round trip between
	// regions.
	minSuspectDelay = 150 * time.Millisecond
	// dialSilenceTimeout is the timeout if only connection attempts are unanswered. It
	// is shorter, because the kernel of the member's machine accepts connections
	// whatever the load of the database.
	dialSilenceTimeout = 300 * time.Millisecond
	// minSilenceTimeout is the shortest silence after which a member with unanswered
	// requests counts as dead: a failover costs callers more than a shorter stall.
	minSilenceTimeout = 500 * time.Millisecond
	// pauseMultiplier is the ratio of the silence timeout to the member's recent pause.
	pauseMultiplier = 4
	// pauseHalfLife is the half-life with which the longest pause decays.
	pauseHalfLife = 5 * time.Second
)

// silenceDetector compares the time since a member's latest answer with the pauses
// between its recent answers. It detects a machine that fails under load sooner than
// the timeouts of the outstanding statements. Any answer resets it.
type silenceDetector struct {
	// since is the time of the first request sent after the latest answer.
	since time.Duration
	// unanswered counts the requests and connection attempts since then, and
	// pendingDials only the connection attempts.
	unanswered, pendingDials int
	// maxPause is the longest pause before an answer, decayed up to lastAnswer.
	maxPause, lastAnswer time.Duration
}

func (d *silenceDetector) requestSent(now time.Duration, dial bool) {
	if d.unanswered == 0 {
		d.since = now
	}
	d.unanswered++
	if dial {
		d.pendingDials++
	}
}

func (d *silenceDetector) responseReceived(now time.Duration) {
	if d.unanswered > 0 {
		d.maxPause = max(d.recentPause(now), now-d.since)
		d.lastAnswer = now
	}
	d.reset(now)
}

// reset discards the unanswered requests.
func (d *silenceDetector) reset(now time.Duration) { d.unanswered, d.pendingDials, d.since = 0, 0, now }

// dialSucceeded removes a connection attempt from the unanswered ones. It does not
// reset the detector: the machine is reachable, but the database may not answer.
func (d *silenceDetector) dialSucceeded() {
	d.unanswered, d.pendingDials = max(d.unanswered-1, 0), max(d.pendingDials-1, 0)
}

// resumed restarts the measured silence after this process was suspended.
func (d *silenceDetector) resumed(now time.Duration) { d.since = max(d.since, now) }

// recentPause returns the longest pause, decayed by its age.
func (d *silenceDetector) recentPause(now time.Duration) time.Duration {
	halfLives := float64(now-d.lastAnswer) / float64(pauseHalfLife)
	return time.Duration(float64(d.maxPause) * math.Exp2(-halfLives))
}

func (d *silenceDetector) suspect(now time.Duration) bool {
	return d.unanswered > 0 && now-d.since >= max(minSuspectDelay, d.recentPause(now))
}

func (d *silenceDetector) dead(now time.Duration) bool {
	return d.unanswered >= minUnanswered && now-d.since >= d.timeout(now)
}

// timeout returns how long the member must be silent to count as dead.
func (d *silenceDetector) timeout(now time.Duration) time.Duration {
	if d.unanswered == d.pendingDials {
		return dialSilenceTimeout
	}
	return min(max(pauseMultiplier*d.recentPause(now), minSilenceTimeout), MaxSilenceTimeout)
}
