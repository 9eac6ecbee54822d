package storelink

// Phase is how a host learns of changes of the store at present.
type Phase int

const (
	// Starting: the host has no complete listing yet and cannot serve.
	Starting Phase = iota
	// Polling: neither the store nor a relay answers. The host serves what it knows and
	// asks other hosts for changes.
	Polling
	// Relisting: changes may have been missed, so a complete listing is due.
	Relisting
	// Watching: the host watches the store itself.
	Watching
	// Following: a relay sends the changes.
	Following
)

func (p Phase) String() string {
	return [...]string{"starting", "polling", "relisting", "watching", "following"}[p]
}
