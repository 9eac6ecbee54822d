package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// scene is a small history with its evidence, in which every promise holds: a
// write, a later strict read of it, and a transaction with a write.
type scene struct {
	history
	evidence
	kept    map[string]int
	places  map[string]lineplatform.Position
	written *request
	read    *request
	tx      *transaction
	inTx    *request
	commit  *request
}

func newScene() *scene {
	s := &scene{
		kept:   map[string]int{"w": 1, "tw": 1},
		places: map[string]lineplatform.Position{"w": {Term: 1, Offset: 5}, "tw": {Term: 1, Offset: 7}},
	}
	answer := func(id string, rows ...string) linecaller.Answer {
		return linecaller.Answer{ID: id, Signature: "sig-m-" + id, Rows: rows, State: "I"}
	}
	s.tx = &transaction{began: at(40), outcome: kept}
	s.written = &request{Answer: answer("w"), verb: write, text: "STORE a w", database: strict, session: "s1", sent: at(0), answered: at(10)}
	s.read = &request{Answer: answer("r", "w"), verb: read, text: "FETCH a", database: strict, session: "s2", sent: at(20), answered: at(30)}
	s.inTx = &request{Answer: answer("tw"), verb: write, text: "STORE b tw", database: strict, session: "s1", tx: s.tx, sent: at(41), answered: at(45)}
	s.commit = &request{Answer: answer("tc"), verb: commit, text: "COMMIT", database: strict, session: "s1", tx: s.tx, sent: at(46), answered: at(50)}
	s.tx.writes = []*request{s.inTx}
	s.requests = []*request{s.written, s.read, s.inTx, s.commit}
	s.commits = []acknowledged{{at: at(10), id: "w", session: "s1"}, {at: at(50), id: "tw", session: "s1"}}
	s.runs = []lineplatform.Execution{
		{ID: "w", Member: "m", Text: "STORE a w", Position: "1.4"},
		{ID: "r", Member: "m", Text: "FETCH a", Position: "1.5", Row: "w"},
		{ID: "tw", Member: "m", Text: "STORE b tw", Position: "1.6", TxID: 3},
		{ID: "tc", Member: "m", Text: "COMMIT", Position: "1.6", TxID: 3},
	}
	s.committed = func(id string) int { return s.kept[id] }
	s.evidence.commit = func(id string) lineplatform.Position { return s.places[id] }
	return s
}

func (s *scene) findings() []string {
	var f findings
	check(s.evidence, []history{s.history}, &f)
	return f.all()
}

func TestNothingIsFoundWhereAllPromisesHold(t *testing.T) {
	require.Empty(t, newScene().findings())
}

// TestEachBrokenPromiseIsFound breaks one promise at a time.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	for _, broken := range []struct {
		name, finding string
		harm          func(s *scene)
	}{
		{"kept twice", "w was kept 2 times", func(s *scene) { s.kept["w"] = 2 }},
		{"acknowledged and lost", "w was acknowledged and kept 0 times", func(s *scene) { s.kept["w"] = 0 }},
		{"kept though refused", "kept though it was refused with BUSY", func(s *scene) {
			s.written.Code, s.commits = "BUSY", s.commits[1:]
		}},
		{"rolled back and kept", "tw was kept though its transaction was not", func(s *scene) {
			s.tx.outcome, s.commits = notKept, s.commits[:1]
		}},
		{"another's answer", "which no member gave", func(s *scene) { s.read.Signature = "sig-m-w" }},
		{"other rows", "which no member gave", func(s *scene) { s.read.Rows = []string{"x"} }},
		{"stale read", "which lacks 1.5", func(s *scene) { s.runs[1].Position = "1.4" }},
		{"read in an older term", "which lacks 2.1", func(s *scene) { s.places["w"] = lineplatform.Position{Term: 2, Offset: 1} }},
		{"own write not seen", "which lacks 1.5", func(s *scene) {
			s.read.database, s.read.session, s.runs[1].Position = own, "s1", "1.4"
		}},
		{"changed text", `ran as "FETCH b"`, func(s *scene) { s.runs[1].Text = "FETCH b" }},
		{"another's values", "acknowledged were", func(s *scene) { s.runs[1].SessionValues = "name0=v1 " }},
		{"another shape", "its caller prepared", func(s *scene) { s.runs[1].Shape = "FETCH q1" }},
		{"nobody asked", "which no caller sent", func(s *scene) { s.runs = append(s.runs, lineplatform.Execution{ID: "x"}) }},
		{"outside of its transaction", "ran outside of its transaction", func(s *scene) { s.runs[2].TxID = 0 }},
		{"transactions mix", "ran in one transaction", func(s *scene) { s.runs[1].TxID = 3 }},
	} {
		t.Run(broken.name, func(t *testing.T) {
			s := newScene()
			broken.harm(s)
			require.Contains(t, strings.Join(s.findings(), "\n"), broken.finding)
		})
	}
}

// TestStopMustNotCutWhatAMemberRuns, nor what the host has had for a while.
func TestStopMustNotCutWhatAMemberRuns(t *testing.T) {
	host, other := &process{name: "a"}, &process{name: "b"}
	s := stop{host: host, incarnation: 2, at: at(1000)}
	lost := request{host: host, incarnation: 2, sent: at(1500), answered: at(1510), lost: true}
	require.True(t, s.cut(&lost, true))
	require.False(t, s.cut(&lost, false), "it may have come too late to be read")
	lost.answered = at(1500 + int(lossSlack.Milliseconds()) + 1)
	require.True(t, s.cut(&lost, false))
	for _, change := range []func(q *request){
		func(q *request) { q.lost = false },
		func(q *request) { q.host = other },
		func(q *request) { q.incarnation = 1 },
		func(q *request) { q.sent, q.answered = at(900), at(990) },
	} {
		q := lost
		change(&q)
		require.False(t, s.cut(&q, true))
	}
}

// TestRolledBackCommitsNeedNotShow: a promotion without confirmation drops what
// its member had not received.
func TestRolledBackCommitsNeedNotShow(t *testing.T) {
	s := newScene()
	s.runs[1].Position = "1.4"
	s.starts = []lineplatform.Position{{Term: 2, Offset: 4}}
	require.Empty(t, s.findings())
}

func TestOlderCommitsNeedNotShowWithinTheBound(t *testing.T) {
	s := newScene()
	s.read.database, s.runs[1].Position = bounded, "1.4"
	require.Empty(t, s.findings())
	s.read.sent = at(10 + int(staleness[bounded].Milliseconds()) + 1)
	require.NotEmpty(t, s.findings())
}
