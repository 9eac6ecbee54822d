package connpool

// Counts are what a pool has done since they were last taken.
type Counts struct {
	// Found counts statements that ran on a connection that was open, Opened the
	// connections that were opened, and Evicted those of them for which another
	// team's was closed.
	Found, Opened, Evicted int
}

// Add sums counts of several pools.
func (c *Counts) Add(o Counts) {
	c.Found += o.Found
	c.Opened += o.Opened
	c.Evicted += o.Evicted
}

// TakeCounts returns the counts since it was last called.
func (p *Pool) TakeCounts() Counts {
	c := p.counts
	p.counts = Counts{}
	return c
}
