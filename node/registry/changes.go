package registry

// Changes tells what has changed in the local copy. Hosts of a large fleet before many
// groups update only what a change concerns.
type Changes struct {
	// Fleet is set if hosts have joined, left or moved.
	Fleet bool
	// All is set if any service may have changed: by a configuration or by a complete
	// listing.
	All bool
	// Services holds the services with changed members.
	Services map[string]bool
}

// Add adds other changes to these.
func (c *Changes) Add(other Changes) {
	c.Fleet = c.Fleet || other.Fleet
	c.All = c.All || other.All
	for service := range other.Services {
		c.addService(service)
	}
}

func (c *Changes) addService(service string) {
	if c.Services == nil {
		c.Services = map[string]bool{}
	}
	c.Services[service] = true
}

// TakeChanges returns the changes since the last call.
func (r *Registry) TakeChanges() Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.changes
	r.changes = Changes{}
	return changes
}

// noteMember records that a member has changed. It is called with mu held, while the
// directory knows the member.
func (r *Registry) noteMember(id string) {
	if service, known := r.directory.ServiceOf(id); known {
		r.changes.addService(service)
	}
}
