package fleetsim

import "time"

const (
	// The one-way latencies are those of data centres with three regions of two zones.
	sameZoneLatency    = 200 * time.Microsecond
	otherZoneLatency   = 900 * time.Microsecond
	otherRegionLatency = 8 * time.Millisecond
	// zonesPerRegion is the number of zones in one region.
	zonesPerRegion = 2
	// messageBytes is the size of a message without content: headers and framing.
	messageBytes = 120
)

// port is one end's connection to the network: what is sent or received waits for its
// rate. Times are when the link has nothing left to send or receive.
type port struct {
	zone           int
	bytesPerSecond float64
	outFree        time.Duration
	inFree         time.Duration
	sentBytes      int
	maxQueuedBytes int
}

func (p *port) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}

func latency(a, b *port) time.Duration {
	switch {
	case a.zone == b.zone:
		return sameZoneLatency
	case a.zone/zonesPerRegion == b.zone/zonesPerRegion:
		return otherZoneLatency
	}
	return otherRegionLatency
}

// transmit sends content and calls deliver when all of it has arrived. A message without
// content does not wait behind others: connections share a link, and it is small.
func (s *scheduler) transmit(from, to *port, content int, deliver func()) {
	from.sentBytes += content + messageBytes
	if content == 0 {
		s.after(latency(from, to), deliver)
		return
	}
	bytes := content + messageBytes
	from.outFree = max(from.outFree, s.now) + from.duration(bytes)
	queued := int((from.outFree - s.now).Seconds() * from.bytesPerSecond)
	from.maxQueuedBytes = max(from.maxQueuedBytes, queued)
	s.at(from.outFree+latency(from, to), func() {
		to.inFree = max(to.inFree, s.now) + to.duration(bytes)
		s.at(to.inFree, deliver)
	})
}
