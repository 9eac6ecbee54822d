package entry_test

import (
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/quota"
	"github.com/dotterelswitch/dotterelswitch/node/inspect"
	"github.com/dotterelswitch/dotterelswitch/standin/linecaller"
	"github.com/dotterelswitch/dotterelswitch/standin/lineplatform"
)

var (
	schools = lineplatform.Team{Name: "schools", Keys: []string{"key-schools-1", "key-schools-2"}}
	clubs   = lineplatform.Team{Name: "clubs", Keys: []string{"key-clubs"}}
)

// setTeams configures teams, so that callers need a key, and waits until that is
// active on all hosts.
func (d *deployment) setTeams(teams ...lineplatform.Team) {
	d.t.Helper()
	d.platform.SetTeams(teams...)
	version := d.platform.Configure(routes(timeout), timeout)
	for _, h := range d.hosts {
		require.Eventually(d.t, func() bool { return h.Catalog().Version == version }, waitLimit, pollInterval)
	}
}

func TestMembersReceiveTeamNotKey(t *testing.T) {
	d := deploy(t, 2, options())
	d.setTeams(schools, clubs)
	want := map[string]string{}
	for host := range d.hosts {
		for key, team := range map[string]string{"key-schools-1": "schools", "key-schools-2": "schools", "key-clubs": "clubs"} {
			c := d.connectAs(host, "own", key)
			want[c.must("STORE item-1 x").id] = team
			want[c.must("FETCH item-1").id] = team
			c.must("BEGIN")
			want[c.must("STORE item-2 y").id] = team
			c.must("COMMIT")
		}
	}
	for _, r := range d.group.Executions() {
		if team, found := want[r.ID]; found {
			require.Equal(t, team, r.Team, r.Text)
			delete(want, r.ID)
		}
		require.NotContains(t, r.Team, "key-")
	}
	require.Empty(t, want, "statements that no member ran")
}

func TestUnknownKeyIsRefusedAtLogin(t *testing.T) {
	d := deploy(t, 1, options())
	d.setTeams(schools)
	_, err := linecaller.OpenWithKey(d.settings[0].CallerAddress, "own", "key-of-nobody", "x", waitLimit)
	var refused *linecaller.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "UNAUTH", refused.Code())
}

// TestRevokedKeyIsRefusedInOpenSessions: a revoked key is refused in open sessions and
// transactions; other keys of the team stay valid.
func TestRevokedKeyIsRefusedInOpenSessions(t *testing.T) {
	d := deploy(t, 1, options())
	d.setTeams(schools, clubs)
	idle, open, other := d.connectAs(0, "own", "key-schools-1"), d.connectAs(0, "own", "key-schools-1"), d.connectAs(0, "own", "key-schools-2")
	idle.must("FETCH a")
	other.must("FETCH a")
	open.must("BEGIN")
	written := open.must("STORE a x").id

	remaining := schools
	remaining.Keys = schools.Keys[1:]
	d.setTeams(remaining, clubs)
	require.Equal(t, "UNAUTH", idle.do("FETCH a").code)
	refused := open.do("COMMIT")
	require.Equal(t, "UNAUTH", refused.code)
	require.Equal(t, "I", refused.state, "the transaction must have ended")
	require.Equal(t, 0, d.group.CommitCount(written))
	other.must("FETCH a")
}

// TestRevokedTransactionIsRolledBack: a caller whose key was revoked can still end its
// transaction with a rollback.
func TestRevokedTransactionIsRolledBack(t *testing.T) {
	d := deploy(t, 1, options())
	d.setTeams(schools, clubs)
	c := d.connectAs(0, "own", "key-schools-1")
	c.must("BEGIN")
	c.must("STORE a x")
	d.setTeams(clubs)
	require.Equal(t, "E", c.do("FETCH a").state)
	require.Equal(t, "I", c.must("ROLLBACK").state)
}

// tolerance is the permitted excess over a team's limit.
var tolerance = quota.Tolerance{Window: time.Second, Share: 0.1, Operations: 20}

// TestTeamLimitHoldsAcrossHosts: a team exceeds its limit through three hosts. No time
// window may contain more operations than permitted, refusals must carry a retry
// delay, and another team must not be affected.
func TestTeamLimitHoldsAcrossHosts(t *testing.T) {
	d := deployPlatform(t, options())
	d.tolerance = tolerance
	for range 3 {
		d.addHost()
	}
	limited := schools
	limited.Rate, limited.Burst = 20, 20
	d.setTeams(limited, clubs)
	var wg sync.WaitGroup
	until := time.Now().Add(4 * time.Second)
	refused := make([]int, len(d.hosts))
	sent := make([]map[string]time.Time, len(d.hosts))
	for host := range d.hosts {
		c := d.connectAs(host, "bounded", "key-schools-1")
		sent[host] = map[string]time.Time{}
		wg.Go(func() {
			for time.Now().Before(until) {
				at := time.Now()
				res := c.do("FETCH a")
				sent[host][res.id] = at
				if res.code != "" {
					refused[host]++
					require.Equal(t, "BUSY", res.code)
					require.Contains(t, res.detail, "retry after")
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	unaffected := d.connectAs(0, "bounded", "key-clubs")
	for range 20 {
		unaffected.must("FETCH b")
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	for host, n := range refused {
		require.Positive(t, n, "host %d", host)
	}
	all := map[string]time.Time{}
	for _, byID := range sent {
		maps.Copy(all, byID)
	}
	busiest := busiestWindow(d.group.Executions(), all, tolerance.Window)
	// One second's rate and a full burst, with the tolerance's share and operations
	// on top.
	require.LessOrEqual(t, float64(busiest), (20+20)*1.1+20)
	require.GreaterOrEqual(t, busiest, 30, "operations within the limit must be served")
}

// TestTransactionCountsAsOneOperation guards against counting each statement of a
// transaction against the limit.
func TestTransactionCountsAsOneOperation(t *testing.T) {
	d := deployPlatform(t, options())
	d.tolerance = quota.Tolerance{Window: 5 * time.Second}
	d.addHost()
	limited := schools
	limited.Rate = 1
	d.setTeams(limited)
	c := d.connectAs(0, "own", "key-schools-1")
	require.Eventually(t, func() bool {
		c.must("BEGIN")
		if c.do("STORE a x").code == "" {
			return true
		}
		c.must("ROLLBACK")
		return false
	}, waitLimit, 50*time.Millisecond)
	for range 50 {
		c.must("STORE a x")
	}
	c.must("COMMIT")
}

// busiestWindow returns the largest number of statements that were both sent and run
// within one window.
func busiestWindow(runs []lineplatform.Execution, sent map[string]time.Time, window time.Duration) int {
	busiest := 0
	for _, start := range sent {
		n := 0
		for _, r := range runs {
			at, found := sent[r.ID]
			if found && !at.Before(start) && r.ExecutedAt.Before(start.Add(window)) {
				n++
			}
		}
		busiest = max(busiest, n)
	}
	return busiest
}

// syncLog is a log buffer that is safe for concurrent use.
type syncLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *syncLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *syncLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestLogsDoNotContainKeys covers a served, a refused and a revoked caller.
func TestLogsDoNotContainKeys(t *testing.T) {
	log := &syncLog{}
	d := deploy(t, 1, options())
	d.logWriter = log
	d.addHost()
	d.setTeams(schools, clubs)
	d.connectAs(1, "own", "key-schools-1").must("FETCH a")
	_, err := linecaller.OpenWithKey(d.settings[1].CallerAddress, "own", "key-of-nobody", "x", waitLimit)
	require.Error(t, err)
	d.setTeams(clubs)
	d.hosts[1].Kill()
	text := log.String()
	require.Contains(t, text, "schools")
	for _, key := range append([]string{"key-of-nobody"}, schools.Keys...) {
		require.NotContains(t, text, key)
	}
}

// TestShowReportsTeams: the inspection API reports the teams' usage, limits, refusals
// and the hosts that count their usage, but no keys.
func TestShowReportsTeams(t *testing.T) {
	d := deployPlatform(t, options())
	d.tolerance = quota.Tolerance{Window: time.Second}
	d.addHost()
	limited := schools
	limited.Rate = 20
	d.setTeams(limited, clubs)
	c := d.connectAs(0, "strict", "key-schools-1")
	served, refused := 0, 0
	for until := time.Now().Add(waitLimit); (served == 0 || refused == 0) && time.Now().Before(until); {
		if c.do("FETCH a").code == "" {
			served++
		} else {
			refused++
		}
	}
	require.Positive(t, served)
	require.Positive(t, refused)
	d.connectAs(0, "strict", "key-clubs").must("FETCH a")
	s := d.show(0)
	require.EqualValues(t, 2, s.Configuration.Teams)
	require.Equal(t, "schools", s.Teams[0].Name)
	require.True(t, s.Teams[0].Limited)
	require.EqualValues(t, served, s.Teams[0].Admitted)
	require.EqualValues(t, refused, s.Teams[0].Refused)
	require.Equal(t, []string{"host-1"}, s.Teams[0].Counters)
	require.Positive(t, s.Teams[0].Connections)
	var text strings.Builder
	require.NoError(t, inspect.WriteText(&text, s))
	require.Contains(t, text.String(), "20/s + 0")
	require.NotContains(t, text.String(), "key-")
	require.Eventually(t, func() bool {
		m := d.metrics(0)
		return strings.Contains(m, `team="schools"`) && strings.Contains(m, "dotterelswitch_operations")
	}, waitLimit, pollInterval)
}
