package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/answerproxy"
	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atMillis(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// testHistory is a short history without violations, and the group's record of it:
// a write, a later strict read of it, and a transaction with one write.
type testHistory struct {
	history
	groupRecord
	commitCounts    map[string]int
	commitPositions map[string]lineplatform.Position
	writeRequest    *request
	readRequest     *request
	tx              *transaction
	txWrite         *request
	txCommit        *request
}

func newTestHistory() *testHistory {
	h := &testHistory{
		commitCounts:    map[string]int{"w": 1, "tw": 1},
		commitPositions: map[string]lineplatform.Position{"w": {Term: 1, Offset: 5}, "tw": {Term: 1, Offset: 7}},
	}
	answer := func(id string, rows ...string) linecaller.Answer {
		return linecaller.Answer{ID: id, Signature: "sig-m-" + id, Rows: rows, State: "I"}
	}
	h.tx = &transaction{beganAt: atMillis(40), result: committed}
	h.writeRequest = &request{Answer: answer("w"), verb: write, text: "STORE a w", database: strictDatabase, session: "s1", sentAt: atMillis(0), answeredAt: atMillis(10)}
	h.readRequest = &request{Answer: answer("r", "w"), verb: read, text: "FETCH a", database: strictDatabase, session: "s2", sentAt: atMillis(20), answeredAt: atMillis(30)}
	h.txWrite = &request{Answer: answer("tw"), verb: write, text: "STORE b tw", database: strictDatabase, session: "s1", tx: h.tx, sentAt: atMillis(41), answeredAt: atMillis(45)}
	h.txCommit = &request{Answer: answer("tc"), verb: commit, text: "COMMIT", database: strictDatabase, session: "s1", tx: h.tx, sentAt: atMillis(46), answeredAt: atMillis(50)}
	h.tx.writes = []*request{h.txWrite}
	h.requests = []*request{h.writeRequest, h.readRequest, h.txWrite, h.txCommit}
	h.controls = []control{
		{Answer: linecaller.Answer{ID: "set", Signature: "-", State: "I"}, text: "SET a b"},
		{Answer: linecaller.Answer{ID: "odd", Code: "MALFORMED", State: "T"}, text: "STORE a b\nCOMMIT", malformed: true, inTx: true},
	}
	h.commits = []ackedCommit{{at: atMillis(10), requestID: "w", session: "s1"}, {at: atMillis(50), requestID: "tw", session: "s1"}}
	h.runs = []lineplatform.Execution{
		{ID: "w", Member: "m", Text: "STORE a w", Position: "1.4"},
		{ID: "r", Member: "m", Text: "FETCH a", Position: "1.5", Row: "w"},
		{ID: "tw", Member: "m", Text: "STORE b tw", Position: "1.6", TxID: 3},
		{ID: "tc", Member: "m", Text: "COMMIT", Position: "1.6", TxID: 3},
	}
	h.commitCount = func(id string) int { return h.commitCounts[id] }
	h.groupRecord.commitPosition = func(id string) lineplatform.Position { return h.commitPositions[id] }
	return h
}

func (h *testHistory) findings() []string {
	var f findings
	check(h.groupRecord, []history{h.history}, &f)
	return f.all()
}

func TestNoFindingsForCorrectHistory(t *testing.T) {
	require.Empty(t, newTestHistory().findings())
}

func TestEachViolationIsFound(t *testing.T) {
	for _, c := range []struct {
		name, finding string
		violate       func(h *testHistory)
	}{
		{"committed twice", "w was kept 2 times", func(h *testHistory) { h.commitCounts["w"] = 2 }},
		{"acknowledged but not committed", "w was acknowledged and kept 0 times", func(h *testHistory) { h.commitCounts["w"] = 0 }},
		{"committed though refused", "kept though it was refused with BUSY", func(h *testHistory) {
			h.writeRequest.Code, h.commits = "BUSY", h.commits[1:]
		}},
		{"committed though rolled back", "tw was kept though its transaction was not", func(h *testHistory) {
			h.tx.result, h.commits = notCommitted, h.commits[:1]
		}},
		{"answer to another request", "which no member gave", func(h *testHistory) { h.readRequest.Signature = "sig-m-w" }},
		{"wrong rows", "which no member gave", func(h *testHistory) { h.readRequest.Rows = []string{"x"} }},
		{"stale read", "which lacks 1.5", func(h *testHistory) { h.runs[1].Position = "1.4" }},
		{"read in an older term", "which lacks 2.1", func(h *testHistory) { h.commitPositions["w"] = lineplatform.Position{Term: 2, Offset: 1} }},
		{"own write not seen", "which lacks 1.5", func(h *testHistory) {
			h.readRequest.database, h.readRequest.session, h.runs[1].Position = readYourWritesDatabase, "s1", "1.4"
		}},
		{"changed statement text", `ran as "FETCH b"`, func(h *testHistory) { h.runs[1].Text = "FETCH b" }},
		{"wrong session values", "acknowledged were", func(h *testHistory) { h.runs[1].SessionValues = "name0=v1 " }},
		{"wrong prepared shape", "its caller prepared", func(h *testHistory) { h.runs[1].Shape = "FETCH q1" }},
		{"statement that no caller sent", "which no caller sent", func(h *testHistory) { h.runs = append(h.runs, lineplatform.Execution{ID: "x"}) }},
		{"run outside of its transaction", "ran outside of its transaction", func(h *testHistory) { h.runs[2].TxID = 0 }},
		{"answer with two results", `misplaced "COMPLETE x"`, func(h *testHistory) { h.readRequest.Defect = "COMPLETE x" }},
		{"signature of another request", `"SET a b" succeeded with signature "sig-m-w"`, func(h *testHistory) { h.controls[0].Signature = "sig-m-w" }},
		{"row of another request", `"SET a b" succeeded`, func(h *testHistory) { h.controls[0].Rows = []string{"w"} }},
		{"state before the result", `misplaced "READY I 1.1"`, func(h *testHistory) { h.controls[0].Defect = "READY I 1.1" }},
		{"malformed statement succeeded", "is malformed and was answered", func(h *testHistory) { h.controls[1].Code, h.controls[1].Signature = "", "sig-m-odd" }},
		{"malformed statement forwarded", "is malformed and was answered", func(h *testHistory) { h.controls[1].Code = "BUSY" }},
		{"malformed statement ended the transaction", "in state I", func(h *testHistory) { h.controls[1].State = "I" }},
		{"malformed statement ran", "odd ran, which no caller sent", func(h *testHistory) { h.runs = append(h.runs, lineplatform.Execution{ID: "odd"}) }},
		{"statements of two transactions mixed", "ran in one transaction", func(h *testHistory) { h.runs[1].TxID = 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHistory()
			c.violate(h)
			require.Contains(t, strings.Join(h.findings(), "\n"), c.finding)
		})
	}
}

// Members must get nothing but what callers sent. Hosts may rename prepared statements.
func TestMessageThatNobodySentIsFound(t *testing.T) {
	h := history{
		requests: []*request{{Answer: linecaller.Answer{ID: "r"}, text: "FETCH a"}, {Answer: linecaller.Answer{ID: "e"}, text: "EXECUTE s0 a v"}},
		controls: []control{{Answer: linecaller.Answer{ID: "b"}, text: "BEGIN"}, {Answer: linecaller.Answer{ID: "odd"}, text: "FETCH a\n", malformed: true}},
	}
	for _, c := range []struct {
		id, text string
		sent     bool
	}{
		{"r", "FETCH a", true},
		{"e", "EXECUTE p77 a v", true},
		{"b", "BEGIN", true},
		{serviceCheckPrefix + "1", serviceCheckText, true},
		{"r", "FETCH b", false},
		{"e", "EXECUTE s0 b v", false},
		{"e", "STORE s0 a v", false},
		{"x", "FETCH a", false},
		{"odd", "FETCH a\n", false},
		{"odd", "FETCH a", false},
		{"", "COMMIT", false},
	} {
		var f findings
		checkMessages([]answerproxy.Message{{Member: "m", ID: c.id, Text: c.text}}, []history{h}, &f)
		require.Equal(t, c.sent, len(f.all()) == 0, "%s %q", c.id, c.text)
	}
}

// A stop interrupts a request that a member ran or that the host has had time to
// read.
func TestPlannedStopInterruptsRequests(t *testing.T) {
	host, other := &hostProcess{name: "a"}, &hostProcess{name: "b"}
	s := plannedStop{host: host, incarnation: 2, at: atMillis(1000)}
	unanswered := request{host: host, incarnation: 2, sentAt: atMillis(1500), answeredAt: atMillis(1510), unanswered: true}
	require.True(t, s.interrupted(&unanswered, true))
	require.False(t, s.interrupted(&unanswered, false), "the host may not have read the request")
	unanswered.answeredAt = atMillis(1500 + int(unreadRequestTolerance.Milliseconds()) + 1)
	require.True(t, s.interrupted(&unanswered, false))
	for _, change := range []func(q *request){
		func(q *request) { q.unanswered = false },
		func(q *request) { q.host = other },
		func(q *request) { q.incarnation = 1 },
		func(q *request) { q.sentAt, q.answeredAt = atMillis(900), atMillis(990) },
	} {
		q := unanswered
		change(&q)
		require.False(t, s.interrupted(&q, true))
	}
}

// A promotion discards commits that the new primary had not received.
func TestRolledBackCommitsAreNotRequired(t *testing.T) {
	h := newTestHistory()
	h.runs[1].Position = "1.4"
	h.termStarts = []lineplatform.Position{{Term: 2, Offset: 4}}
	require.Empty(t, h.findings())
}

func TestBoundedReadMayMissRecentCommits(t *testing.T) {
	h := newTestHistory()
	h.readRequest.database, h.runs[1].Position = boundedDatabase, "1.4"
	require.Empty(t, h.findings())
	h.readRequest.sentAt = atMillis(10 + int(maxStaleness[boundedDatabase].Milliseconds()) + 1)
	require.NotEmpty(t, h.findings())
}
