package bootstrap_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/bootstrap"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/core/store"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func hosts(n int) []gates.Host {
	var out []gates.Host
	for i := range n {
		out = append(out, gates.Host{Name: fmt.Sprint("host-", i), Zone: "z", Address: fmt.Sprint("address-", i), LinkMbps: 1000})
	}
	return out
}

func TestHostThatTheRecordNamesListsTheStoreAtOnce(t *testing.T) {
	fleet := hosts(4)
	record := bootstrap.Record{Sources: fleet[:3], Revision: 7}
	require.Equal(t, bootstrap.List, bootstrap.NewSearch(fleet[2], record, time.Hour).Next(time.Hour))
	require.Equal(t, bootstrap.Ask, bootstrap.NewSearch(fleet[3], record, time.Hour).Next(time.Hour))
}

// TestPlaceOfASourceThatAnswersIsNotTaken guards against hosts that list the store beside
// sources that need a moment for it.
func TestPlaceOfASourceThatAnswersIsNotTaken(t *testing.T) {
	fleet := hosts(4)
	s := bootstrap.NewSearch(fleet[3], bootstrap.Record{Sources: fleet[:3], Revision: 7}, 0)
	now := time.Duration(0)
	for ; now < 3*time.Second; now += bootstrap.RetryInterval {
		require.Equal(t, bootstrap.Ask, s.Next(now), now)
		for _, h := range s.Sources(now) {
			s.Answered(h.Name, now)
		}
		s.Asked()
	}
	s.Update(bootstrap.Record{Sources: fleet[:3], Revision: 8}, now)
	require.Equal(t, bootstrap.Ask, s.Next(now+time.Second))
}

func TestPlaceOfASilentSourceIsTaken(t *testing.T) {
	fleet := hosts(4)
	s := bootstrap.NewSearch(fleet[3], bootstrap.Record{Sources: fleet[:3], Revision: 7}, 0)
	for now := time.Duration(0); ; now += bootstrap.RetryInterval {
		require.Less(t, now, 2*time.Second)
		if s.Next(now) == bootstrap.Claim {
			require.Equal(t, []gates.Host{fleet[0], fleet[2], fleet[3]}, s.Claimed(now))
			require.Equal(t, []string{"host-1"}, s.Gone())
			break
		}
		s.Answered("host-0", now)
		s.Answered("host-2", now)
		s.Silent("host-1", now)
		s.Asked()
	}
}

// TestSourceThatStartsLaterKeepsItsPlace: it did not answer one question.
func TestSourceThatStartsLaterKeepsItsPlace(t *testing.T) {
	fleet := hosts(4)
	s := bootstrap.NewSearch(fleet[3], bootstrap.Record{Sources: fleet[:3], Revision: 7}, 0)
	for now := time.Duration(0); now < 3*time.Second; now += bootstrap.RetryInterval {
		require.Equal(t, bootstrap.Ask, s.Next(now), now)
		for _, h := range s.Sources(now) {
			if now < 700*time.Millisecond {
				s.Silent(h.Name, now)
			} else {
				s.Answered(h.Name, now)
			}
		}
		s.Asked()
		require.Empty(t, s.Gone())
	}
}

// TestPlaceOfSourcesWithoutACopyIsTakenInTheEnd: they answer, but do not reach the store.
func TestPlaceOfSourcesWithoutACopyIsTakenInTheEnd(t *testing.T) {
	fleet := hosts(4)
	s := bootstrap.NewSearch(fleet[3], bootstrap.Record{Sources: fleet[:3], Revision: 7}, 0)
	now := time.Duration(0)
	for ; s.Next(now) == bootstrap.Ask; now += bootstrap.RetryInterval {
		require.Less(t, now, 5*time.Second)
		for _, h := range fleet {
			s.Answered(h.Name, now)
		}
		s.Asked()
	}
	require.Equal(t, bootstrap.Claim, s.Next(now))
	require.Len(t, s.Claimed(now), bootstrap.MaxSources)
}

// TestHostsWithFastLinksBecomeSourcesFirst: a source sends many copies.
func TestHostsWithFastLinksBecomeSourcesFirst(t *testing.T) {
	slow, fast := gates.Host{Name: "slow", LinkMbps: 20}, gates.Host{Name: "fast", LinkMbps: 1000}
	require.Equal(t, bootstrap.Claim, bootstrap.NewSearch(fast, bootstrap.Record{}, 0).Next(100*time.Millisecond))
	s := bootstrap.NewSearch(slow, bootstrap.Record{}, 0)
	require.Equal(t, bootstrap.Read, s.Next(time.Second), "there is nobody to ask yet")
	s.Update(bootstrap.Record{}, time.Second)
	require.Equal(t, bootstrap.Claim, s.Next(2*time.Second))
	s.Update(bootstrap.Record{Sources: []gates.Host{fast}, Revision: 3}, 2*time.Second)
	require.Equal(t, bootstrap.Ask, s.Next(2*time.Second))
}

// TestStoreListsForAFewHostsWhateverFails plays zones of hosts that start at random times,
// some of which never answer, on one record that is written conditionally. At each moment
// at most MaxSources hosts may list the store, and every running host gets its copy.
func TestStoreListsForAFewHostsWhateverFails(t *testing.T) {
	const listTime = 500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		fleet := hosts(rapid.IntRange(2, 60).Draw(t, "hosts"))
		dead := map[string]bool{}
		searches := map[string]*bootstrap.Search{}
		var record bootstrap.Record
		for n, h := range fleet {
			// One host runs in any case.
			dead[h.Name] = n > 0 && rapid.IntRange(0, 3).Draw(t, "dead") == 0
			if n < rapid.IntRange(0, bootstrap.MaxSources).Draw(t, "sources of before") && len(record.Sources) < bootstrap.MaxSources {
				record.Sources = append(record.Sources, h)
				record.Revision = 1
			}
		}
		startAt := map[string]time.Duration{}
		for _, h := range fleet {
			startAt[h.Name] = time.Duration(rapid.IntRange(0, 300).Draw(t, "start")) * time.Millisecond
		}
		copyAt := map[string]time.Duration{}
		var now time.Duration
		hasCopy := func(name string) bool { at, found := copyAt[name]; return found && at <= now }
		for ; now < 30*time.Second; now += 20 * time.Millisecond {
			for _, h := range fleet {
				if _, found := copyAt[h.Name]; found || dead[h.Name] || now < startAt[h.Name] {
					continue
				}
				s := searches[h.Name]
				if s == nil {
					s = bootstrap.NewSearch(h, record, now)
					searches[h.Name] = s
				}
				switch s.Next(now) {
				case bootstrap.List:
					copyAt[h.Name] = now + listTime
				case bootstrap.Claim:
					if s.Record().Revision == record.Revision {
						record = bootstrap.Record{Sources: s.Claimed(now), Revision: record.Revision + 1}
					}
					s.Update(record, now)
				case bootstrap.Read:
					s.Update(record, now)
				case bootstrap.Ask:
					for _, source := range s.Sources(now) {
						switch {
						case hasCopy(source.Name):
							copyAt[h.Name] = now
						case !dead[source.Name] && now >= startAt[source.Name]:
							s.Answered(source.Name, now)
						default:
							s.Silent(source.Name, now)
						}
					}
					s.Asked()
				}
			}
			if len(record.Sources) > bootstrap.MaxSources {
				t.Fatalf("%d sources at %s", len(record.Sources), now)
			}
			listing := 0
			for name, at := range copyAt {
				if at > now && record.Names(name) {
					listing++
				}
			}
			if listing > bootstrap.MaxSources {
				t.Fatalf("%d hosts list the store at %s", listing, now)
			}
		}
		for _, h := range fleet {
			if !dead[h.Name] && !hasCopy(h.Name) {
				t.Fatalf("%s has no copy after %s", h.Name, now)
			}
		}
	})
}

// TestUnchangedRecordDoesNotBeginAnew: the wait for a place runs on.
func TestUnchangedRecordDoesNotBeginAnew(t *testing.T) {
	fleet := hosts(4)
	record := bootstrap.Record{Sources: fleet[:1], Revision: 7}
	s := bootstrap.NewSearch(fleet[3], record, 0)
	s.Asked()
	s.Update(record, time.Second)
	require.Equal(t, bootstrap.Claim, s.Next(time.Second))
}

func TestRecordsAreEqualInAnyOrder(t *testing.T) {
	fleet := hosts(3)
	r := bootstrap.Record{Sources: fleet[:2], Revision: store.Revision(3)}
	require.True(t, r.SameSources([]gates.Host{fleet[1], fleet[0]}))
	require.False(t, r.SameSources(fleet))
	require.False(t, r.SameSources([]gates.Host{fleet[0], fleet[2]}))
	moved := fleet[1]
	moved.Address = "elsewhere"
	require.False(t, r.SameSources([]gates.Host{fleet[0], moved}))
}

// TestSourceSendsAsManyCopiesAsItsLinkCarries guards against copies that arrive after their
// timeout when more are asked for than the link carries.
func TestSourceSendsAsManyCopiesAsItsLinkCarries(t *testing.T) {
	const bytes = 1_000_000
	for linkMbps, perSecond := range map[int]float64{1000: 125, 200: 25, 20: 2.5} {
		p := bootstrap.NewPacer(linkMbps)
		admitted, atOnce := 0, 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			for range 100 {
				if p.Admit(bytes, now) {
					admitted++
				}
			}
			if now == 0 {
				atOnce = admitted
			}
		}
		require.InDelta(t, 10*perSecond, admitted, perSecond, "%d Mbit/s", linkMbps)
		require.LessOrEqual(t, float64(atOnce), perSecond/2+1, "%d Mbit/s", linkMbps)
	}
	unknown := bootstrap.NewPacer(0)
	for range 1000 {
		require.True(t, unknown.Admit(bytes, 0))
	}
}
