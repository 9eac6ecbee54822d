package classify

import "strings"

// hintPrefix starts a block comment that contains hints, as in
// /* dotterelswitch: key=abc class=lookup */.
const hintPrefix = "dotterelswitch:"

// Hints are request settings given in a comment of a query text. They apply to that
// query text only.
type Hints struct {
	// Key is the idempotency key.
	Key string
	// Class is the request class.
	Class string
	// Unknown lists the names of unknown hints.
	Unknown []string
}

// parse adds the hints in the content of a block comment.
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
