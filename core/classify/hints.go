package classify

import "strings"

// hintPrefix opens a comment that carries hints, as in
// /* dotterelswitch: key=abc class=lookup */.
const hintPrefix = "dotterelswitch:"

// Hints are the request settings that a comment on the statement may carry.
// They hold for that statement only.
type Hints struct {
	// Key is the idempotency key.
	Key string
	// Class is the request class.
	Class string
	// Unknown lists the names that were not understood.
	Unknown []string
}

// parse reads the inside of a block comment.
func (h *Hints) parse(comment string) {
	rest, found := strings.CutPrefix(strings.TrimSpace(comment), hintPrefix)
	if !found {
		return
	}
	for field := range strings.FieldsSeq(rest) {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "key":
			h.Key = value
		case "class":
			h.Class = value
		default:
			h.Unknown = append(h.Unknown, name)
		}
	}
}
