package succession_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/logpos"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/core/succession"
)

func nothingLost(string) bool { return false }

// TestReplicasIncludeMembersThatAreGone guards against a group that is taken to be smaller
// once the entry of a crashed member has ended.
func TestReplicasIncludeMembersThatAreGone(t *testing.T) {
	record := succession.SyncGroup{Members: []string{"a", "b", "c"}}
	for _, c := range []struct {
		name       string
		group      succession.SyncGroup
		registered []string
		dead       string
		logLost    string
		want       int
	}{
		{"all registered", record, []string{"a", "b", "c"}, "a", "", 2},
		{"a replica is gone", record, []string{"a", "b"}, "a", "", 2},
		{"the primary is gone too and not known", record, []string{"b"}, "none", "", 2},
		{"the primary has lost its log", record, []string{"a", "b", "c"}, "none", "a", 2},
		{"a new member", record, []string{"b", "c", "d"}, "none", "", 3},
		{"no record", succession.SyncGroup{}, []string{"b", "c"}, "none", "", 2},
	} {
		require.Equal(t, c.want, c.group.Replicas(c.registered, c.dead, func(id string) bool { return id == c.logLost }), c.name)
	}
}

func TestAckSurveyIsCompleteOnlyIfNoHostCanKnowMore(t *testing.T) {
	newest := logpos.Position{Term: 1, Offset: 9}
	full := func() map[string]succession.AckReport {
		return map[string]succession.AckReport{
			"h1": {Newest: newest, ReceivedAt: 50 * time.Second, RunningSince: 10 * time.Second},
			"h2": {Newest: logpos.Position{Term: 1, Offset: 8}, ReceivedAt: 60 * time.Second, RunningSince: 50 * time.Second},
		}
	}
	hosts := []string{"h1", "h2"}
	require.Equal(t, succession.AckSurvey{Newest: newest, Complete: true}, succession.SurveyAcks(hosts, full(), 50*time.Second))
	require.False(t, succession.SurveyAcks(hosts, full(), 51*time.Second).Complete, "another host may have run until then")
	require.False(t, succession.SurveyAcks([]string{"h1", "h2", "h3"}, full(), 0).Complete, "a host has not answered")
	restarted := full()
	restarted["h2"] = succession.AckReport{RunningSince: 51 * time.Second}
	require.Equal(t, succession.AckSurvey{Newest: newest}, succession.SurveyAcks(hosts, restarted, 0), "its earlier process may have acknowledged more")
	require.Equal(t, succession.AckSurvey{}, succession.SurveyAcks(nil, nil, 0), "nothing is known")
}

// groupModel is a group with synchronous replicas whose members crash, come back, and
// receive nothing for a while. Logs are prefixes of one log, so that a member's log is its
// length.
type groupModel struct {
	rng          *rand.Rand
	syncReplicas int
	// forgetful makes the group count only the members that are registered.
	forgetful bool
	members   []*memberModel
	primary   *memberModel
	term      logpos.Term
	acked     int
	record    succession.SyncGroup
	trace     []string
}

type memberModel struct {
	id                         string
	received                   int
	down, deaf, paused, listed bool
}

func newGroupModel(seed uint64, syncReplicas int, forgetful bool) *groupModel {
	g := &groupModel{rng: rand.New(rand.NewPCG(seed, 0)), syncReplicas: syncReplicas, forgetful: forgetful, term: 1}
	for n := range 3 + g.rng.IntN(2) {
		g.members = append(g.members, &memberModel{id: fmt.Sprint("m", n), listed: true})
	}
	g.primary = g.members[0]
	g.updateRecord()
	return g
}

func (g *groupModel) registered() []string {
	var out []string
	for _, m := range g.members {
		if m.listed {
			out = append(out, m.id)
		}
	}
	return out
}

// replicate copies the primary's log and returns how many replicas have all of it.
func (g *groupModel) replicate() int {
	complete := 0
	for _, m := range g.members {
		if m == g.primary || m.down || g.primary.down {
			continue
		}
		if !m.deaf && !m.paused {
			m.received = g.primary.received
		}
		if m.received == g.primary.received {
			complete++
		}
	}
	return complete
}

func (g *groupModel) commit() {
	if g.primary.down {
		return
	}
	g.primary.received++
	if g.replicate() >= g.syncReplicas {
		g.acked = g.primary.received
	}
}

func (g *groupModel) status(m *memberModel) statement.Status {
	return statement.Status{Primary: m == g.primary, Term: g.term, Received: logpos.Position{Term: 1, Offset: logpos.Offset(m.received)}}
}

// replicas returns the statuses of the registered replicas that are up.
func (g *groupModel) replicas() []succession.CandidateStatus {
	var out []succession.CandidateStatus
	for _, m := range g.members {
		if m != g.primary && !m.down && m.listed {
			out = append(out, succession.CandidateStatus{ID: m.id, Status: g.status(m)})
		}
	}
	return out
}

// updateRecord does what the lock holder does.
func (g *groupModel) updateRecord() {
	g.replicate()
	members := g.record.With(g.registered())
	if !g.primary.down && g.primary.listed && g.record.HasGone(g.registered()) && succession.GoneMayBeForgotten(g.status(g.primary), g.replicas(), g.term, g.syncReplicas) {
		members = g.registered()
	}
	g.record.Members = members
}

// promote replaces a primary that is down. It returns false if the promoted member lacks an
// acknowledged commit.
func (g *groupModel) promote() bool {
	if !g.primary.down {
		return true
	}
	dead := g.primary.id
	if !g.primary.listed {
		dead = "none"
	}
	count := g.record.Replicas(g.registered(), dead, nothingLost)
	if g.forgetful {
		count = succession.SyncGroup{}.Replicas(g.registered(), dead, nothingLost)
	}
	// Hosts have told of all acknowledged commits, or of none.
	acks := succession.AckSurvey{}
	if !g.forgetful && g.acked > 0 && g.rng.IntN(3) == 0 {
		acks = succession.AckSurvey{Newest: logpos.Position{Term: 1, Offset: logpos.Offset(g.acked)}, Complete: true}
	}
	chosen, err := succession.ChooseSynced(g.replicas(), count, g.syncReplicas, acks)
	if err != nil {
		return true
	}
	at := slices.IndexFunc(g.members, func(m *memberModel) bool { return m.id == chosen.ID })
	g.primary = g.members[at]
	g.term++
	for _, m := range g.members {
		// Members that were ahead roll back.
		m.received = min(m.received, g.primary.received)
	}
	return g.primary.received >= g.acked
}

// step draws an event. It returns false if an acknowledged commit was lost.
func (g *groupModel) step() bool {
	m := g.members[g.rng.IntN(len(g.members))]
	name := "commit"
	kept := true
	switch draw := g.rng.IntN(12); draw {
	case 0, 1, 2, 3:
		g.commit()
	case 4:
		name, m.down = "crash "+m.id, true
	case 5:
		name = "entry of " + m.id + " ends if it is down"
		// It ends seconds after the crash, so the lock holder has seen it.
		g.updateRecord()
		m.listed = m.listed && !m.down
	case 6:
		name, m.down, m.listed = "start "+m.id, false, true
	case 7:
		name, m.deaf = "deaf "+m.id, true
	case 8:
		name, m.deaf = "hears "+m.id, false
	case 9, 10:
		name = "check"
		g.updateRecord()
	case 11:
		name, kept = "promote", g.promote()
	}
	g.trace = append(g.trace, fmt.Sprintf("%s; primary %s, acknowledged %d", name, g.primary.id, g.acked))
	return kept
}

// run plays events and returns false if an acknowledged commit was lost.
func (g *groupModel) run(events int) bool {
	for range events {
		if !g.step() {
			return false
		}
	}
	return true
}

// TestPromotedMembersHaveAcknowledgedCommits draws crashes, ended entries and replicas that
// receive nothing. No promotion may lose an acknowledged commit, and a group whose members
// are all back has a primary again.
func TestPromotedMembersHaveAcknowledgedCommits(t *testing.T) {
	for seed := range uint64(5000) {
		g := newGroupModel(seed, 1, false)
		require.True(t, g.run(80), "seed %d: %v", seed, g.trace)
		for _, m := range g.members {
			m.down, m.listed, m.deaf = m == g.primary, true, false
		}
		require.True(t, g.promote(), "seed %d: %v", seed, g.trace)
		require.False(t, g.primary.down, "seed %d: no promotion: %v", seed, g.trace)
	}
}

// TestModelNoticesForgottenMembers shows that the model above finds the loss if only the
// members that are registered count.
func TestModelNoticesForgottenMembers(t *testing.T) {
	lost := 0
	for seed := range uint64(200) {
		if !newGroupModel(seed, 1, true).run(80) {
			lost++
		}
	}
	require.NotZero(t, lost)
}

// TestGroupsWithoutSyncReplicasPromoteAnyReplica guards against a failover that waits for
// members that need not answer.
func TestGroupsWithoutSyncReplicasPromoteAnyReplica(t *testing.T) {
	for seed := range uint64(500) {
		g := newGroupModel(seed, 0, false)
		g.run(40)
		g.primary.down = true
		if len(g.replicas()) > 0 {
			g.promote()
			require.False(t, g.primary.down, "seed %d: %v", seed, g.trace)
		}
	}
}
