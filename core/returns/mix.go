package returns

import "time"

// maxMixCount is the number of refusals from which on older ones count half, so that the mix
// is that of the last refusals.
const maxMixCount = 512

// mix counts the latest refusals by level.
type mix struct {
	counts [numLevels]float64
	total  float64
	// latest is the latest useful moment of any refusal of a level.
	latest [numLevels]time.Duration
}

func (m *mix) observe(level int, latest time.Duration) {
	m.latest[level] = max(m.latest[level], latest)
	m.counts[level]++
	m.total++
	if m.total < maxMixCount {
		return
	}
	for i := range m.counts {
		m.counts[i] /= 2
	}
	m.total /= 2
}

// keptFor returns the part of an interval's places that a level and those less important may
// take; the rest is kept for more important ones. Those whose callers do not return as late
// as the interval's moment need none. The part is the square of the levels' share of the
// refusals: their share itself served a fifth fewer of the most important statements in
// replays with a normal load of 0.6, as these have the shortest deadlines.
func (m *mix) keptFor(level int, moment time.Duration) float64 {
	own, all := 0.0, 0.0
	for l, n := range m.counts {
		switch {
		case l >= level:
			own, all = own+n, all+n
		case m.latest[l] > moment:
			all += n
		}
	}
	share := own / max(all, 1)
	return share * share
}
