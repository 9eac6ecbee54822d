package quota_test

import (
	"time"

	"pgregory.net/rapid"
)

// fault is a failure injected into a simulated fleet.
type fault struct {
	at       time.Duration
	kind     string
	host     int
	duration time.Duration
}

func (s *simFleet) inject(f fault) {
	clear(s.placements)
	h := s.hosts[f.host%len(s.hosts)]
	switch f.kind {
	case "kill":
		h.downUntil = s.now + restartDelay + f.duration
	case "kill all":
		for _, h := range s.hosts {
			h.downUntil = s.now + restartDelay + f.duration
		}
	case "pause":
		h.pausedUntil = s.now + f.duration
	case "partition":
		for i, h := range s.hosts {
			h.partition = (i + f.host) % 2
		}
	case "isolate":
		h.partition = f.host + 2
	case "heal":
		for _, h := range s.hosts {
			h.partition = 0
		}
	}
}

// run20s simulates twenty seconds with faults.
func (s *simFleet) run20s(faults []fault) { s.run(20*time.Second, faults) }

// run simulates the fleet until a time, with faults.
func (s *simFleet) run(until time.Duration, faults []fault) {
	for s.now < until {
		for _, f := range faults {
			if f.at > s.now && f.at <= s.now+tick {
				s.inject(f)
			}
		}
		s.step()
	}
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:       time.Duration(rapid.IntRange(0, 19000).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom([]string{"kill", "kill all", "pause", "partition", "isolate", "heal"}).Draw(t, "kind"),
			host:     rapid.IntRange(0, 20).Draw(t, "host"),
			duration: time.Duration(rapid.IntRange(0, 4000).Draw(t, "duration")) * time.Millisecond,
		}
	}), 0, 8).Draw(t, "faults")
}
