package registry

// NewsCounts counts the keys that a registry took news of, by the way on which they
// came, and those that it told its followers.
type NewsCounts struct {
	FromStore, FromRelay, FromPeers, Told int
}

// TakeNewsCounts returns the counts since it was last called.
func (r *Registry) TakeNewsCounts() NewsCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.newsCounts
	r.newsCounts = NewsCounts{}
	return counts
}

// countNews counts keys of the store or of the relay. It is called with mu held.
func (r *Registry) countNews(keys int) {
	if r.direct {
		r.newsCounts.FromStore += keys
		return
	}
	r.newsCounts.FromRelay += keys
}

// countTold counts keys that a follower was told of.
func (r *Registry) countTold(keys int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newsCounts.Told += keys
}
