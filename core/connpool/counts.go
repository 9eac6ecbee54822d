package connpool

import (
	"cmp"
	"slices"
	"strings"
)

// Counts are the events of a pool since the previous call of TakeCounts.
type Counts struct {
	// Reused is the number of statements that got a connection that was already
	// open, Opened the number of connections that were opened, and Evicted the
	// number of idle connections closed to open one for another team.
	Reused, Opened, Evicted int
}

// Add adds the counts of another pool.
func (c *Counts) Add(o Counts) {
	c.Reused += o.Reused
	c.Opened += o.Opened
	c.Evicted += o.Evicted
}

// TakeCounts returns the counts and resets them.
func (p *Pool) TakeCounts() Counts {
	c := p.counts
	p.counts = Counts{}
	return c
}

// TeamQueue counts the waiting statements of one team and priority.
type TeamQueue struct {
	Team              string
	Priority, Waiting int
}

// Queues returns the waiting statements by team and priority, the longest queue first.
func (p *Pool) Queues() []TeamQueue {
	counts := map[TeamQueue]int{}
	for i := range p.queue.Len() {
		w := p.queue.At(i)
		counts[TeamQueue{Team: w.Team, Priority: w.Priority}]++
	}
	queues := make([]TeamQueue, 0, len(counts))
	for q, n := range counts {
		q.Waiting = n
		queues = append(queues, q)
	}
	slices.SortFunc(queues, func(a, b TeamQueue) int {
		return cmp.Or(b.Waiting-a.Waiting, a.Priority-b.Priority, strings.Compare(a.Team, b.Team))
	})
	return queues
}
