package conf

// Change is one accepted change of the configuration. It replaces or deletes
// whole items by name, so that changes of different items never conflict.
type Change struct {
	// Version is the version that the change creates, one above its base version.
	Version uint64 `json:"version"`
	// ChangeID is unique to the change.
	ChangeID string `json:"change_id"`
	Put      Items  `json:"put"`
	Delete   Names  `json:"delete"`
}

// Items are configuration items, by kind.
type Items struct {
	Zones    []Zone    `json:"zones,omitempty"`
	Services []Service `json:"services,omitempty"`
	Classes  []Class   `json:"classes,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	Events   []Event   `json:"events,omitempty"`
	Drains   []Drain   `json:"drains,omitempty"`
}

// Names are the names of items, by kind. Drains are identified by their kind and name.
type Names struct {
	Zones    []string `json:"zones,omitempty"`
	Services []string `json:"services,omitempty"`
	Classes  []string `json:"classes,omitempty"`
	Teams    []string `json:"teams,omitempty"`
	Events   []string `json:"events,omitempty"`
	Drains   []Drain  `json:"drains,omitempty"`
}

// Apply returns the configuration after a change. The receiver is not modified;
// the result shares the unchanged lists with it. The error is a
// *VersionGapError if the change does not follow the receiver's version.
func (c *Config) Apply(ch Change) (*Config, error) {
	if ch.Version != c.Version+1 {
		return nil, &VersionGapError{Current: c.Version, Change: ch.Version}
	}
	return &Config{
		Version:  ch.Version,
		ChangeID: ch.ChangeID,
		Zones:    merge(c.Zones, ch.Put.Zones, ch.Delete.Zones, zoneName),
		Services: merge(c.Services, ch.Put.Services, ch.Delete.Services, serviceName),
		Classes:  merge(c.Classes, ch.Put.Classes, ch.Delete.Classes, className),
		Teams:    merge(c.Teams, ch.Put.Teams, ch.Delete.Teams, teamName),
		Events:   merge(c.Events, ch.Put.Events, ch.Delete.Events, eventName),
		Drains:   merge(c.Drains, ch.Put.Drains, drainKeys(ch.Delete.Drains), drainKey),
	}, nil
}

func zoneName(z Zone) string       { return z.Name }
func serviceName(s Service) string { return s.Name }
func className(c Class) string     { return c.Name }
func teamName(t Team) string       { return t.Name }
func eventName(e Event) string     { return e.Name }
func drainKey(d Drain) string      { return string(d.Kind) + "/" + d.Name }

func drainKeys(drains []Drain) []string {
	keys := make([]string, 0, len(drains))
	for _, d := range drains {
		keys = append(keys, drainKey(d))
	}
	return keys
}

// Overlaps reports whether two changes put or delete the same item.
func (ch Change) Overlaps(other Change) bool {
	keys := ch.itemKeys()
	for key := range other.itemKeys() {
		if keys[key] {
			return true
		}
	}
	return false
}

// itemKey identifies an item across all kinds.
type itemKey struct{ kind, name string }

func (ch Change) itemKeys() map[itemKey]bool {
	keys := make(map[itemKey]bool)
	addItemKeys(keys, "zone", ch.Put.Zones, ch.Delete.Zones, zoneName)
	addItemKeys(keys, "service", ch.Put.Services, ch.Delete.Services, serviceName)
	addItemKeys(keys, "class", ch.Put.Classes, ch.Delete.Classes, className)
	addItemKeys(keys, "team", ch.Put.Teams, ch.Delete.Teams, teamName)
	addItemKeys(keys, "event", ch.Put.Events, ch.Delete.Events, eventName)
	addItemKeys(keys, "drain", ch.Put.Drains, drainKeys(ch.Delete.Drains), drainKey)
	return keys
}

func addItemKeys[T any](keys map[itemKey]bool, kind string, put []T, deleted []string, name func(T) string) {
	for _, item := range put {
		keys[itemKey{kind, name(item)}] = true
	}
	for _, n := range deleted {
		keys[itemKey{kind, n}] = true
	}
}
