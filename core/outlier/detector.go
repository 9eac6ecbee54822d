package outlier

import (
	"slices"
	"time"
)

const (
	// failureWindow, minFailures and failureShare define a member that fails: at least
	// minFailures failures in the window, and at least that share of its latest statements.
	// A lone failure in low traffic is no evidence. With all statements of the window, a
	// member that has just begun to fail 400 statements a second had failed 130.
	failureWindow     = time.Second
	failureStatements = 10
	minFailures       = 5
	failureShare      = 0.5
	// fewFailures are enough if no statement succeeded in the window and two teams are
	// concerned. With six gates per member, five failures each are 30 lost reads.
	fewFailures = 3
	// A smaller share counts over a longer time if neither the peers nor the member's own
	// past have half of it.
	shareWindow        = 3 * time.Second
	minShareStatements = 10
	minShareFailures   = 4
	smallFailureShare  = 0.2
	minPeerStatements  = 5
	// relapseStatements and relapseFailures suffice for a member that was ejected within
	// memory: three probes of a member that fails 0.4 succeed in one of five cases.
	relapseStatements = 4
	relapseFailures   = 2
	// A slow member takes slowFactor times as long as its peers and slowMargin longer: a
	// read of 18 ms that takes 90 ms still meets its objective of 500 ms, but occupies
	// five times its share of slots. The margin ignores differences between kinds of
	// statements, which take 6 to 30 ms.
	slowFactor = 4
	slowMargin = 50 * time.Millisecond
	// minSlowSamples is the number of slow samples of the member before and after
	// minPeerSamples of its peers, and minSlowTime the time over which it must be slow.
	minSlowSamples = 5
	minPeerSamples = 3
	minSlowTime    = time.Second
	// slowCheckInterval bounds the cost of comparing response times.
	slowCheckInterval = 100 * time.Millisecond
	// pastWeight is the weight of a sample in the averages of the member's past, which
	// count once minPastSamples were seen.
	pastWeight     = 1.0 / 200
	minPastSamples = 100
	// pastFactor is how much worse than its past a member must be.
	pastFactor = 2

	// firstEjection is the length of an ejection. It doubles with each repetition up to
	// maxEjection and starts again once the member was healthy for memory.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	memory        = 15 * time.Second
	// probeInterval is the minimum time between probes while a member is ejected. After a
	// failure it is half of the ejection if that is longer.
	probeInterval = time.Second
	// probeTimeout is how long a probe without an outcome blocks the next one.
	probeTimeout = time.Second
	// readmitProbes is the number of successful probes in a row that readmit a member.
	readmitProbes = 3
	// trialRefusal is the validity of the verdict while a probe of the trial runs. A probe
	// takes tens of milliseconds.
	trialRefusal = 250 * time.Millisecond
)

// peerHistory is how far back the samples of a peer are used. A gate that is no gate of the
// peer sees only its own callers' statements there, about one in two seconds with 74 hosts
// and 80 reads a second per group.
const peerHistory = 10 * time.Second

// Peer is another member of the group, as this host knows it.
type Peer struct {
	// Samples are its samples of the last few seconds, the latest first.
	Samples []Sample
	Ejected bool
}

// PeerOf returns what a window shows about a peer.
func PeerOf(w *Window, ejected bool, now time.Duration) Peer {
	return Peer{Samples: w.Since(now - peerHistory), Ejected: ejected}
}

// Change is what a sample or a judgement has changed.
type Change uint8

const (
	// Unchanged means that the verdict is as before.
	Unchanged Change = iota
	// Ejected means that the member was ejected, possibly again.
	Ejected
	// Readmitted means that the ejection has ended.
	Readmitted
)

// Detector judges one member. It is not safe for concurrent use. The zero value is a
// member without evidence.
//
// An ejected member gets single probes, at most one in probeInterval. When the ejection
// has expired, the member is on trial: probes run one at a time, without the interval. A
// trial ends with readmitProbes successes in a row, or with a failure, which ejects the
// member for longer. A primary gets no probes; it is judged by all that it runs, and a lone
// failure does not end its trial.
type Detector struct {
	window Window
	// pastTime and pastShare are averages over the time without an ejection.
	pastTime    time.Duration
	pastShare   float64
	pastSamples int
	nextSlow    time.Duration

	cause Cause
	// until is the end of the latest ejection, length its length. trial is set from the
	// ejection until the member is readmitted.
	until, length time.Duration
	trial         bool
	// probing is set while a probe runs that was sent at probedAt. successes counts the
	// successful probes in a row.
	probing   bool
	probedAt  time.Duration
	successes int
	// slowRef is the median of the peers when the member was ejected as slow.
	slowRef time.Duration
	// primary is set while the member is the primary of its group.
	primary bool
}

// SetPrimary records whether the member is the primary. A primary that fails is replaced, so
// that only a share of failures of failureShare counts against it: smaller shares compare
// its writes with the reads of its peers, and a lone failure after an ejection shows little.
func (d *Detector) SetPrimary(primary bool) { d.primary = primary }

// Window returns the samples of the member.
func (d *Detector) Window() *Window { return &d.window }

// Verdict returns the ejection of the member; zero if it may be sent reads.
func (d *Detector) Verdict(now time.Duration) Ejection {
	switch {
	case now < d.until:
		return Ejection{Cause: d.cause, Until: d.until}
	case d.onTrial(now) && d.probeRuns(now):
		return Ejection{Cause: d.cause, Until: now + trialRefusal}
	}
	return Ejection{}
}

// onTrial reports whether an ejection has expired and the member is not readmitted. A
// member that nobody has tried for long is no longer on trial.
func (d *Detector) onTrial(now time.Duration) bool {
	return d.trial && now >= d.until && now < d.until+memory
}

func (d *Detector) probeRuns(now time.Duration) bool {
	return d.probing && now < d.probedAt+probeTimeout
}

// ProbeDue reports whether a read may be sent to the member as a probe.
func (d *Detector) ProbeDue(now time.Duration) bool {
	if d.probeRuns(now) {
		return false
	}
	interval := probeInterval
	if d.successes == 0 {
		interval = max(interval, d.length/2)
	}
	return d.onTrial(now) || now < d.until && now >= d.probedAt+interval
}

// Admission is the answer to a read for a member.
type Admission uint8

const (
	// Admitted means that the member is not ejected.
	Admitted Admission = iota
	// AsProbe means that the read is a probe. Its outcome must be reported with
	// ProbeEnded.
	AsProbe
	// Refused means that the read must go to another member.
	Refused
)

// Admit decides about a read. A transaction is no probe while the ejection lasts, because
// its later statements cannot run on another member.
func (d *Detector) Admit(transaction bool, now time.Duration) Admission {
	if now >= d.until && !d.onTrial(now) {
		return Admitted
	}
	if !d.ProbeDue(now) || transaction && now < d.until {
		return Refused
	}
	d.probing, d.probedAt = true, now
	return AsProbe
}

// ProbeEnded records the end of a probe. answered is unset if the member gave no answer or
// refused the read, which shows nothing.
func (d *Detector) ProbeEnded(answered, failed bool, took, now time.Duration) Change {
	if !d.probing {
		return Unchanged
	}
	d.probing = false
	if !answered {
		return Unchanged
	}
	return d.tried(failed, took, now)
}

// tried records the outcome of a probe, or of another statement during a trial.
func (d *Detector) tried(failed bool, took, now time.Duration) Change {
	if failed || d.cause == Slow && isSlow(took, d.slowRef) {
		d.successes = 0
		if now < d.until {
			d.until = max(d.until, now+firstEjection)
			return Unchanged
		}
		d.eject(d.cause, now)
		return Ejected
	}
	d.successes++
	if d.successes < readmitProbes {
		return Unchanged
	}
	d.trial, d.successes, d.until = false, 0, now
	d.window.clear()
	return Readmitted
}

func (d *Detector) eject(c Cause, now time.Duration) {
	if now >= d.until+memory {
		d.length = 0
	}
	d.length = min(max(2*d.length, firstEjection), maxEjection)
	d.cause, d.until, d.trial, d.successes = c, now+d.length, true, 0
	// The read that caused the ejection counts as a probe.
	d.probing, d.probedAt = false, now
	// Another verdict needs new evidence.
	d.window.clear()
}

// Observe records a sample. It also reports whether Judge should be called.
func (d *Detector) Observe(s Sample) (Change, bool) {
	d.window.Add(s)
	switch trial := d.onTrial(s.At); {
	case trial && s.Failed && d.primary:
		// Judge decides whether more statements fail.
		d.successes = 0
	case trial && (s.Failed || !d.probeRuns(s.At)):
		// The outcome of a probe that succeeds is recorded when it ends.
		return d.tried(s.Failed, s.Took, s.At), false
	case s.At >= d.until:
		d.learn(s)
	}
	if s.Failed {
		return Unchanged, d.window.tally(s.At-shareWindow).failures >= relapseFailures
	}
	if s.Took < slowMargin || s.At < d.nextSlow {
		return Unchanged, false
	}
	d.nextSlow = s.At + slowCheckInterval
	return Unchanged, true
}

func (d *Detector) learn(s Sample) {
	failed := 0.0
	if s.Failed {
		failed = 1
	}
	d.pastSamples++
	weight := max(pastWeight, 1/float64(d.pastSamples))
	d.pastShare += weight * (failed - d.pastShare)
	if s.Failed {
		return
	}
	took := s.Took
	if d.pastTime > 0 {
		// The first seconds in which a member is slow must not become its past.
		took = min(took, pastFactor*d.pastTime)
	}
	d.pastTime += time.Duration(weight * float64(took-d.pastTime))
}

// Judge compares the member with its peers and its past and ejects it if it is an
// outlier. Evidence that a member still fails while it is ejected prolongs the ejection.
func (d *Detector) Judge(peers []Peer, now time.Duration) Change {
	cause := UnknownCause
	switch {
	case d.failing(peers, now):
		cause = Failing
	case now >= d.until && d.slow(peers, now):
		cause = Slow
	}
	switch {
	case cause == UnknownCause:
		return Unchanged
	case now < d.until && d.cause == cause:
		d.until = max(d.until, now+firstEjection)
		d.window.clear()
		return Unchanged
	}
	d.eject(cause, now)
	return Ejected
}

func (d *Detector) failing(peers []Peer, now time.Duration) bool {
	t, latest := d.window.tally(now-failureWindow), d.window.tallyLatest(now-failureWindow, failureStatements)
	if latest.failures >= minFailures && latest.share() >= failureShare && !t.ofOneTeam() {
		return true
	}
	if t.failures >= fewFailures && t.failures == t.statements && t.teamFailures < t.failures {
		return true
	}
	if d.primary {
		return false
	}
	t = d.window.tally(now - shareWindow)
	statementsNeeded, failuresNeeded := minShareStatements, minShareFailures
	if d.length > 0 && now < d.until+memory {
		statementsNeeded, failuresNeeded = relapseStatements, relapseFailures
	}
	if t.statements < statementsNeeded || t.failures < failuresNeeded || t.share() < smallFailureShare || t.ofOneTeam() {
		return false
	}
	if d.pastSamples >= minPastSamples && t.share() < pastFactor*d.pastShare {
		return false
	}
	statements, failures := 0, 0
	for _, p := range peers {
		for _, s := range p.Samples {
			if !p.Ejected {
				statements++
				if s.Failed {
					failures++
				}
			}
		}
	}
	return statements >= minPeerStatements && 2*float64(failures)/float64(statements) < t.share()
}

func isSlow(took, reference time.Duration) bool {
	return took >= slowFactor*reference && took >= reference+slowMargin
}

// slow reports whether the member was slow compared with its peers before and after their
// latest samples. If the load of all members rises or falls once, these samples show it.
// While a peer is ejected, the others carry its load, so that none of them is slow.
func (d *Detector) slow(peers []Peer, now time.Duration) bool {
	var theirs []Sample
	for _, p := range peers {
		if p.Ejected {
			return false
		}
		theirs = append(theirs, succeeded(p.Samples)...)
	}
	own := succeeded(d.window.Since(now - peerHistory))
	if len(own) < 2*minSlowSamples {
		return false
	}
	slices.SortFunc(theirs, func(a, b Sample) int { return int(b.At - a.At) })
	theirs = before(theirs, own[minSlowSamples-1].At)
	if len(theirs) < minPeerSamples {
		return false
	}
	from := min(theirs[minPeerSamples-1].At, now-minSlowTime)
	earlier := before(own, from)
	if len(earlier) < minSlowSamples {
		return false
	}
	between := theirs[:max(len(theirs)-len(before(theirs, from)), minPeerSamples)]
	// Of few samples that vary much the median may be small by chance.
	reference := max(median(between), mean(between))
	was, is := median(earlier[:minSlowSamples]), median(own[:minSlowSamples])
	if !isSlow(was, reference) || !isSlow(is, reference) || d.alwaysSlow(min(was, is)) {
		return false
	}
	d.slowRef = reference
	return true
}

// alwaysSlow reports whether a time is usual for the member, for example because its
// statements are more expensive than those of its peers.
func (d *Detector) alwaysSlow(took time.Duration) bool {
	return d.pastSamples >= minPastSamples && took < pastFactor*d.pastTime
}
