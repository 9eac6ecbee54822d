package registry

// UpdateCounts counts the keys that a registry received, by source, and those that it
// sent to its followers.
type UpdateCounts struct {
	FromStore, FromRelay, FromPeers, Sent int
}

// TakeUpdateCounts returns the counts since the last call and resets them.
func (r *Registry) TakeUpdateCounts() UpdateCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.updateCounts
	r.updateCounts = UpdateCounts{}
	return counts
}

// countReceived counts keys from the store or the relay. It is called with mu held.
func (r *Registry) countReceived(keys int) {
	if r.link.UsesStore() {
		r.updateCounts.FromStore += keys
		return
	}
	r.updateCounts.FromRelay += keys
}

// countSent counts keys that were sent to a follower.
func (r *Registry) countSent(keys int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateCounts.Sent += keys
}
