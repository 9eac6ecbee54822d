// Package pgcorrelate decides which of the answers on a PostgreSQL connection belongs to the
// request in progress. Answers carry no identifier, and a member may send one a second time,
// at once or later. A marker therefore follows each request: messages whose answer echoes a
// number that is unique on the connection. Members answer in order, so the answer to the
// request is among those before the echo.
package pgcorrelate

import (
	"bytes"
	"hash/maphash"
	"slices"
	"strings"
)

// Answer is what a decision needs to know of one answer, which ends with ReadyForQuery.
type Answer struct {
	// Kinds are the types of its messages, without asynchronous messages and ReadyForQuery.
	// A run of rows, or of COPY data, counts as one message.
	Kinds []byte
	// FirstTag is the tag of the first CommandComplete, LastTag that of the last.
	FirstTag, LastTag string
	// TxStatus is the transaction status of ReadyForQuery.
	TxStatus byte
	// Content holds its messages without asynchronous ones, and Position is the log position
	// that it reports. Both are equal for two answers if one may repeat the other.
	Content  []byte
	Position string
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Kinds are the types of its messages, with DescribeStatement for a Describe of a
	// statement.
	Kinds []byte
	// Keyword is the first word of its first statement in upper case, if the first
	// CommandComplete is that of this statement; otherwise it is empty.
	Keyword string
}

// DescribeStatement stands for a Describe of a statement, DescribePortal for that of a portal.
const (
	DescribeStatement byte = 's'
	DescribePortal    byte = 'D'
)

// Reason explains why an answer was rejected.
type Reason string

// The reasons.
const (
	// Repeated is an answer that came more than once, or that repeats an earlier one.
	Repeated Reason = "repeated"
	// WrongForm is an answer that the request cannot have.
	WrongForm Reason = "wrong_form"
	// Ambiguous is an answer of which several may be that to the request.
	Ambiguous Reason = "ambiguous"
	// Missing is an echo of the marker without an answer before it.
	Missing Reason = "missing"
	// TooMany is more answers than a member that stutters sends.
	TooMany Reason = "too_many"
	// Unreadable is an answer that violates the protocol.
	Unreadable Reason = "unreadable"
	// Unrequested is data that arrived while no request was in progress.
	Unrequested Reason = "unrequested"
)

// Verdict is a decision. Index is that of the answer to the request, or negative if it is not
// known. Reason is empty if the answer was the only one.
type Verdict struct {
	Index  int
	Reason Reason
}

// rememberedAnswers bounds the memory of a connection. A repetition that arrives after more
// answers than this makes an answer ambiguous.
const rememberedAnswers = 1024

var seed = maphash.MakeSeed()

// Tracker remembers the answers of one connection. The zero value is that of a new one. It is
// not safe for concurrent use.
type Tracker struct {
	// recent holds the hashes of the latest answers; next is the one that is replaced next,
	// once there are rememberedAnswers of them.
	recent []uint64
	next   int
}

// Remember notes an answer that needs no decision, such as the echo of a marker.
func (t *Tracker) Remember(a Answer) { t.remember(hash(a)) }

// Choose returns which of the answers before the echo of the marker is that to the request.
// status is the transaction status of the echo.
func (t *Tracker) Choose(req Request, answers []Answer, status byte) Verdict {
	v := t.choose(req, answers, status)
	for _, a := range answers {
		t.Remember(a)
	}
	return v
}

func (t *Tracker) choose(req Request, answers []Answer, status byte) Verdict {
	if len(answers) == 0 {
		return Verdict{-1, Missing}
	}
	var fitting, fresh []int
	for i, a := range answers {
		if a.TxStatus != status || !fits(req, a) {
			continue
		}
		fitting = append(fitting, i)
		if !slices.Contains(t.recent, hash(a)) {
			fresh = append(fresh, i)
		}
	}
	switch {
	case len(answers) == 1 && len(fitting) == 1:
		return Verdict{}
	case len(fitting) == 0:
		return Verdict{-1, WrongForm}
	case allEqual(answers, fitting):
		return Verdict{fitting[0], Repeated}
	case len(fresh) > 0 && allEqual(answers, fresh):
		return Verdict{fresh[0], Repeated}
	}
	return Verdict{-1, Ambiguous}
}

func allEqual(answers []Answer, indices []int) bool {
	first := answers[indices[0]]
	return !slices.ContainsFunc(indices, func(i int) bool {
		a := answers[i]
		return a.TxStatus != first.TxStatus || a.Position != first.Position || !bytes.Equal(a.Content, first.Content)
	})
}

func hash(a Answer) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	_, _ = h.Write(a.Content)
	_, _ = h.WriteString(a.Position)
	_ = h.WriteByte(a.TxStatus)
	return h.Sum64()
}

func (t *Tracker) remember(h uint64) {
	if len(t.recent) < rememberedAnswers {
		t.recent = append(t.recent, h)
		return
	}
	t.recent[t.next] = h
	t.next = (t.next + 1) % rememberedAnswers
}

// fits reports whether a request can have an answer.
func fits(req Request, a Answer) bool {
	failed := bytes.IndexByte(a.Kinds, 'E') >= 0
	return fitsStatus(a, failed) && fitsTag(req.Keyword, a.FirstTag) && fitsMessages(req.Kinds, a.Kinds)
}

// fitsStatus checks the transaction status: an error leaves no transaction usable, and BEGIN
// opens one.
func fitsStatus(a Answer, failed bool) bool {
	switch {
	case a.TxStatus != 'I' && a.TxStatus != 'T' && a.TxStatus != 'E':
		return false
	case failed:
		return a.TxStatus != 'T'
	case a.LastTag == "BEGIN" || a.LastTag == "START TRANSACTION":
		return a.TxStatus == 'T'
	}
	return true
}

// tagsOf are the tags that statements with a keyword may have. Others may have any tag.
var tagsOf = map[string][]string{
	"INSERT": {"INSERT"}, "UPDATE": {"UPDATE"}, "DELETE": {"DELETE"}, "SELECT": {"SELECT"},
	"BEGIN": {"BEGIN"}, "START": {"BEGIN", "START"}, "COMMIT": {"COMMIT", "ROLLBACK"}, "ROLLBACK": {"ROLLBACK"},
}

func fitsTag(keyword, tag string) bool {
	allowed, known := tagsOf[keyword]
	if !known || tag == "" {
		return true
	}
	word, _, _ := strings.Cut(tag, " ")
	return slices.Contains(allowed, word)
}

// fitsMessages matches the messages of an answer with those of the request. An error ends an
// answer at any point.
func fitsMessages(req, answer []byte) bool {
	for _, kind := range req {
		if len(answer) > 0 && answer[0] == 'E' {
			return len(answer) == 1
		}
		var ok bool
		if answer, ok = afterMessage(kind, answer); !ok {
			return false
		}
	}
	return len(answer) == 0 || len(answer) == 1 && answer[0] == 'E'
}

// afterMessage returns what follows the answer to one message. An ErrorResponse that the
// message caused is left in place.
func afterMessage(kind byte, answer []byte) (rest []byte, ok bool) {
	switch kind {
	case 'S':
		return answer, true
	case 'P':
		return take(answer, "1")
	case 'B':
		return take(answer, "2")
	case 'C':
		return take(answer, "3")
	case DescribeStatement:
		if answer, ok = take(answer, "t"); !ok {
			return nil, false
		}
		return take(answer, "Tn")
	case DescribePortal:
		return take(answer, "Tn")
	case 'E':
		return afterResult(answer)
	case 'Q':
		return afterQuery(answer)
	}
	return nil, false
}

// take removes a message of one of the kinds, unless an error stands in its place.
func take(answer []byte, kinds string) ([]byte, bool) {
	if len(answer) == 0 {
		return nil, false
	}
	if answer[0] == 'E' {
		return answer, len(answer) == 1
	}
	return answer[1:], strings.IndexByte(kinds, answer[0]) >= 0
}

// afterResult removes the result of an Execute: rows or COPY data, and its end.
func afterResult(answer []byte) ([]byte, bool) {
	answer = bytes.TrimPrefix(answer, []byte("H"))
	answer = bytes.TrimPrefix(answer, []byte("D"))
	answer = bytes.TrimPrefix(answer, []byte("d"))
	answer = bytes.TrimPrefix(answer, []byte("c"))
	return take(answer, "CIs")
}

// afterQuery removes the results of a simple query, at least one.
func afterQuery(answer []byte) ([]byte, bool) {
	for {
		var ok bool
		if len(answer) > 0 && answer[0] == 'T' {
			answer = answer[1:]
		} else if len(answer) > 0 && answer[0] == 'D' {
			return nil, false
		}
		if answer, ok = afterResult(answer); !ok {
			return nil, false
		}
		if len(answer) == 0 || answer[0] == 'E' {
			return answer, len(answer) <= 1
		}
	}
}
