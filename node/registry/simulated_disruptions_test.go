package registry

import (
	"fmt"
	"strings"
	"time"
)

// scheduleDisruption adds a random disruption that begins at the given time, and half of
// the time a change of the configuration just after its end.
func (s *simulation) scheduleDisruption(at time.Duration) {
	until := at + s.duration(300*time.Millisecond, 7*time.Second)
	some := s.someHosts()
	switch s.rng.IntN(12) {
	case 0, 1:
		s.scheduleOutage(at, until, silentOutage)
	case 2:
		s.scheduleOutage(at, until, refusingOutage)
	case 3:
		s.scheduleOutage(at, until, slowOutage)
	case 4, 10, 11:
		s.scheduleRestore(at)
	case 5:
		s.scheduleCompaction(at)
	case 6:
		s.scheduleRestart(at, at+s.duration(0, 3*time.Second), some)
	case 7:
		s.scheduleCut(at, until, some)
	case 8:
		s.schedule(at, "open connections to the store and between hosts go silent", func() {
			for _, h := range s.fleet.hosts {
				h.storePath.setCut(false)
				h.peerPath.setCut(false)
				h.disturbed()
			}
		})
	case 9:
		s.scheduleTurnAway(at, until+2*time.Second, some[:(len(some)+2)/3])
	}
	if s.rng.IntN(2) == 0 {
		s.schedule(until+s.duration(0, 500*time.Millisecond), "the operator changes the configuration", s.configure)
	}
}

// someHosts returns one host, several or all.
func (s *simulation) someHosts() []*simulatedHost {
	var out []*simulatedHost
	for n := range s.hosts {
		out = append(out, s.fleet.hosts[fmt.Sprintf("host-%02d", n)])
	}
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:[]int{1, 2, len(out) / 3, len(out) - 1, len(out)}[s.rng.IntN(5)]]
}

// disruptStore schedules a disruption of the store.
func (s *simulation) disruptStore(at, until time.Duration, name string, begin, end func()) {
	s.schedule(at, name+" begins", func() {
		s.storeDisruptions++
		begin()
	})
	s.schedule(until, name+" ends", func() {
		s.storeDisruptions--
		s.storeCalmSince = s.fleet.now()
		end()
	})
}

func (s *simulation) scheduleOutage(at, until time.Duration, o outage) {
	name := map[outage]string{silentOutage: "an outage without answers", refusingOutage: "an outage with refusals", slowOutage: "a slow store"}[o]
	s.disruptStore(at, until, name, func() { s.fleet.store.begin(o) }, func() {
		s.fleet.store.begin(noOutage)
		s.storeAnsweredSince = s.fleet.now()
	})
}

// scheduleRestore lets the store return from a backup after a short outage. The operator
// writes its newest configuration again after a while.
func (s *simulation) scheduleRestore(at time.Duration) {
	until := at + s.duration(100*time.Millisecond, 2*time.Second)
	kind := []outage{silentOutage, refusingOutage}[s.rng.IntN(2)]
	age, rewrite := s.rng.IntN(5), s.duration(0, 2*time.Second)
	watchesWait := s.rng.IntN(2) == 0
	s.disruptStore(at, until, "a restore of the store", func() { s.fleet.store.begin(kind) }, func() {
		s.fleet.store.SetWatchesBlocked(watchesWait)
		s.fleet.store.Restore(s.backups[max(0, len(s.backups)-1-age)])
		s.fleet.store.SetWatchesBlocked(false)
		s.fleet.store.begin(noOutage)
		s.storeAnsweredSince = s.fleet.now()
	})
	if s.rng.IntN(2) == 0 {
		s.schedule(until+s.duration(0, time.Second), "the operator changes the configuration", s.configure)
	}
	s.schedule(until+rewrite, "the operator writes the configuration again", func() { s.unwritten = s.version })
}

// scheduleCompaction drops the history after watches have heard nothing for a second.
func (s *simulation) scheduleCompaction(at time.Duration) {
	s.disruptStore(at, at+time.Second, "a compaction", func() { s.fleet.store.SetWatchesBlocked(true) }, func() {
		s.fleet.store.SetWatchesBlocked(false)
		s.fleet.store.Compact()
	})
	s.schedule(at+s.duration(0, time.Second), "the operator changes the configuration", s.configure)
}

func (s *simulation) scheduleRestart(at, until time.Duration, hosts []*simulatedHost) {
	s.schedule(at, "hosts are killed: "+hostNames(hosts), func() {
		for _, h := range hosts {
			h.kill()
		}
	})
	for _, h := range hosts {
		s.schedule(until+s.duration(0, 300*time.Millisecond), h.self.Name+" starts", func() {
			h.kill()
			delete(s.active, h.self.Name)
			delete(s.knownSince, h.self.Name)
			h.start()
		})
	}
}

// scheduleCut cuts hosts off from the store, or from the store and the other hosts.
func (s *simulation) scheduleCut(at, until time.Duration, hosts []*simulatedHost) {
	peersToo := s.rng.IntN(2) == 0
	set := func(cut bool) func() {
		return func() {
			for _, h := range hosts {
				h.storePath.setCut(cut)
				if peersToo {
					h.peerPath.setCut(cut)
				}
				h.disturbed()
			}
		}
	}
	s.schedule(at, fmt.Sprintf("hosts are cut off, from each other too: %v: %s", peersToo, hostNames(hosts)), set(true))
	s.schedule(until, "they are no longer cut off", set(false))
}

// scheduleTurnAway lets the store refuse, or not answer, the calls of some hosts.
func (s *simulation) scheduleTurnAway(at, until time.Duration, hosts []*simulatedHost) {
	kind := []outage{silentOutage, refusingOutage}[s.rng.IntN(2)]
	set := func(o outage) func() {
		return func() {
			for _, h := range hosts {
				h.storePath.turnAway(o)
			}
		}
	}
	s.disruptStore(at, until, "an outage for "+hostNames(hosts), set(kind), set(noOutage))
}

func hostNames(hosts []*simulatedHost) string {
	var names []string
	for _, h := range hosts {
		names = append(names, h.self.Name)
	}
	return strings.Join(names, " ")
}
