package conf_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// randomChange returns a change that puts some teams and deletes others.
func randomChange(t *rapid.T, version uint64) conf.Change {
	ch := conf.Change{Version: version, ChangeID: fmt.Sprint(version)}
	for i := range 6 {
		name := fmt.Sprintf("t%d", i)
		switch rapid.IntRange(0, 3).Draw(t, name) {
		case 0:
			ch.Put.Teams = append(ch.Put.Teams, conf.Team{Name: name, Weight: float64(version)})
		case 1:
			ch.Delete.Teams = append(ch.Delete.Teams, name)
		}
	}
	slices.Reverse(ch.Put.Teams)
	return ch
}

// TestApplyMatchesMapModel applies a series of changes and compares each result
// with a map that is changed in the same way.
func TestApplyMatchesMapModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, want := &conf.Config{}, map[string]float64{}
		for v := range uint64(rapid.IntRange(1, 12).Draw(t, "changes")) {
			ch := randomChange(t, v+1)
			before := slices.Clone(cfg.Teams)
			next, err := cfg.Apply(ch)
			require.NoError(t, err)
			require.Equal(t, before, cfg.Teams, "Apply must not modify its receiver")
			for _, n := range ch.Delete.Teams {
				delete(want, n)
			}
			for _, x := range ch.Put.Teams {
				want[x.Name] = x.Weight
			}
			cfg = next
			require.Len(t, cfg.Teams, len(want))
			require.True(t, slices.IsSortedFunc(cfg.Teams, func(a, b conf.Team) int {
				if a.Name < b.Name {
					return -1
				}
				return 1
			}))
			for name, weight := range want {
				got, found := cfg.Team(name)
				require.True(t, found)
				require.Equal(t, weight, got.Weight)
			}
		}
	})
}

// TestTrackerVersionIsMonotonic offers changes and snapshots in random order, with
// duplicates and outdated ones.
func TestTrackerVersionIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []conf.Change
		versions := []*conf.Config{{}}
		for v := range uint64(20) {
			ch := randomChange(t, v+1)
			next, err := versions[v].Apply(ch)
			require.NoError(t, err)
			changes, versions = append(changes, ch), append(versions, next)
		}
		tracker := conf.NewTracker()
		for range rapid.IntRange(1, 80).Draw(t, "offers") {
			before := tracker.Current().Version
			i := rapid.IntRange(0, len(changes)-1).Draw(t, "which")
			var advanced bool
			var err error
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				advanced, err = tracker.OfferSnapshot(versions[i])
			} else {
				advanced, err = tracker.OfferChange(changes[i])
			}
			after := tracker.Current().Version
			require.Equal(t, advanced, after > before)
			require.GreaterOrEqual(t, after, before)
			var gap *conf.VersionGapError
			if err != nil {
				require.ErrorAs(t, err, &gap)
			}
			require.Equal(t, versions[after].Teams, tracker.Current().Teams)
			if list, complete := tracker.Since(before); complete {
				require.Len(t, list, int(after-before))
			}
		}
	})
}

func TestChangeOverlaps(t *testing.T) {
	a := conf.Change{Put: conf.Items{Teams: []conf.Team{{Name: "x"}}}}
	b := conf.Change{Delete: conf.Names{Teams: []string{"x"}}}
	c := conf.Change{Put: conf.Items{Classes: []conf.Class{{Name: "x"}}}}
	require.True(t, a.Overlaps(b))
	require.False(t, a.Overlaps(c), "items of different kinds may have the same name")
}

func TestValidateReportsEveryProblem(t *testing.T) {
	cfg := &conf.Config{
		Services: []conf.Service{{Name: "S", Upstreams: []conf.Upstream{{Name: "a", Zone: "undeclared", Address: "x", Slots: 0, Connections: -1}}}, {Name: "empty"}},
		Classes:  []conf.Class{{Name: "c", Staleness: -time.Second}, {Name: "c"}},
		Teams:    []conf.Team{{Name: "t", Weight: -1, Connections: -1}},
		Events:   []conf.Event{{Name: "e", Services: []string{"undeclared"}}},
		Drains:   []conf.Drain{{Kind: "unknown", Name: "a"}, {Kind: conf.DrainUpstream, Name: "undeclared"}},
	}
	var invalid *conf.InvalidError
	require.ErrorAs(t, cfg.Validate(), &invalid)
	const problems = 14
	require.Len(t, invalid.Problems, problems, "%q", invalid.Problems)
}

func TestEventOverridesStalenessFromItsStart(t *testing.T) {
	start := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	cfg := &conf.Config{
		Classes: []conf.Class{{Name: "c", Staleness: time.Second}},
		Events:  []conf.Event{{Name: "e", Start: start, Services: []string{"s"}, Staleness: []conf.Class{{Name: "c", Staleness: time.Minute}}}},
	}
	for service, want := range map[string]time.Duration{"s": time.Minute, "other": time.Second} {
		got, found := cfg.Staleness("c", service, start)
		require.True(t, found)
		require.Equal(t, want, got)
	}
	got, _ := cfg.Staleness("c", "s", start.Add(-time.Nanosecond))
	require.Equal(t, time.Second, got)
	_, found := cfg.Staleness("undeclared", "s", start)
	require.False(t, found)
}

// A declared credential must be a digest and belong to one team only, and the error
// must not reveal a key that was declared in clear text.
func TestValidateAndAuthorizeKeys(t *testing.T) {
	digest := catalog.NewCredential("k").String()
	valid := &conf.Config{Teams: []conf.Team{{Name: "a", Credentials: []string{digest}}, {Name: "b"}}}
	require.NoError(t, valid.Validate())
	require.True(t, valid.RequiresKeys())
	require.True(t, valid.Authorizes("a", catalog.NewCredential("k")))
	require.False(t, valid.Authorizes("b", catalog.NewCredential("k")))
	require.False(t, valid.Authorizes("undeclared", catalog.NewCredential("k")))
	require.True(t, (&conf.Config{Teams: []conf.Team{{Name: "a"}}}).Authorizes("anybody", catalog.Credential{}))
	for _, invalid := range []*conf.Config{
		{Teams: []conf.Team{{Name: "a", Credentials: []string{"the key itself"}}}},
		{Teams: []conf.Team{{Name: "a", Credentials: []string{digest}}, {Name: "b", Credentials: []string{digest}}}},
	} {
		err := invalid.Validate()
		require.Error(t, err)
		require.NotContains(t, err.Error(), "the key itself")
	}
}
