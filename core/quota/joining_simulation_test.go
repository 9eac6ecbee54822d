package quota_test

import "github.com/dotterelswitch/dotterelswitch/core/quota"

// announce has a joining host announce itself to the counters that it replaces.
func (s *simFleet) announce(h *simHost, to []string) {
	if len(to) == 0 || s.now < h.downUntil || s.now-h.announcedAt < requestTimeout {
		return
	}
	h.announcedAt = s.now
	for _, name := range to {
		s.send(simMessage{from: h.name, to: name, announces: true})
	}
}

// handleAnnouncement handles an announcement or its acknowledgement.
func (s *simFleet) handleAnnouncement(h *simHost, m simMessage) {
	if m.response {
		h.fleet.Learn(m.grant.Counters, s.now)
		h.fleet.Acknowledge(m.from)
		delete(s.placements, h)
		h.counter.TakeOver(s.now)
		return
	}
	s.place(h)
	h.fleet.Announce(s.quotaHost(s.find(m.from)), s.now)
	h.fleet.Decline(s.now)
	delete(s.placements, h)
	s.send(simMessage{from: h.name, to: m.from, announces: true, response: true, grant: quota.Grant{Counters: s.hostsNamed(h.fleet.CountersWithout(m.from, team, s.limit, tolerance, s.now))}})
}
