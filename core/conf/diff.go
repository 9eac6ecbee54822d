package conf

import "reflect"

// Effect is what a change does to one item.
type Effect uint8

const (
	// Unchanged includes the deletion of an item that does not exist.
	Unchanged Effect = iota
	Added
	Replaced
	Deleted
)

var effectNames = [...]string{"unchanged", "added", "replaced", "deleted"}

func (e Effect) String() string { return effectNames[e] }

// Difference describes the effect of a change on one item.
type Difference struct {
	Effect Effect `json:"effect"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
}

// MarshalText encodes the effect by name.
func (e Effect) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// Diff returns the effect of putting and deleting items: one entry per item that is
// put and one per item that is deleted, in the order of the fields of Items.
func (c *Config) Diff(put Items, del Names) []Difference {
	var out []Difference
	out = diff(out, "zone", c.Zones, put.Zones, del.Zones, zoneName)
	out = diff(out, "service", c.Services, put.Services, del.Services, serviceName)
	out = diff(out, "class", c.Classes, put.Classes, del.Classes, className)
	out = diff(out, "team", c.Teams, put.Teams, del.Teams, teamName)
	out = diff(out, "event", c.Events, put.Events, del.Events, eventName)
	return diff(out, "drain", c.Drains, put.Drains, drainKeys(del.Drains), drainKey)
}

func diff[T any](diffs []Difference, kind string, current, put []T, deleted []string, name func(T) string) []Difference {
	for _, item := range put {
		effect := Added
		if old, found := find(current, name(item), name); found {
			effect = Replaced
			if reflect.DeepEqual(old, item) {
				effect = Unchanged
			}
		}
		diffs = append(diffs, Difference{Effect: effect, Kind: kind, Name: name(item)})
	}
	for _, n := range deleted {
		effect := Unchanged
		if _, found := find(current, n, name); found {
			effect = Deleted
		}
		diffs = append(diffs, Difference{Effect: effect, Kind: kind, Name: n})
	}
	return diffs
}
