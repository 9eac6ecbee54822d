package connpool

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
