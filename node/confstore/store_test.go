package confstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul/consultest"
	"github.com/dotterelswitch/dotterelswitch/standin/simtime"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func putTeam(name string, weight float64) confstore.Edit {
	return func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: []conf.Team{{Name: name, Weight: weight}}}, conf.Names{}, nil
	}
}

func submit(t *testing.T, s *confstore.Store, id string, edit confstore.Edit) uint64 {
	t.Helper()
	ch, err := s.Submit(context.Background(), id, edit)
	require.NoError(t, err)
	return ch.Version
}

func TestChangesApplyInSequence(t *testing.T) {
	kv := consultest.NewMemory(nil)
	s := confstore.New(kv)
	for i := range 200 {
		require.Equal(t, uint64(i+1), submit(t, s, fmt.Sprintf("c%d", i), putTeam(fmt.Sprintf("t%d", i%50), float64(i))))
	}
	cfg, _, err := s.Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(200), cfg.Version)
	require.Len(t, cfg.Teams, 50)
	require.Equal(t, 199.0, cfg.Weight("t49"))
	const maxKeys = 1 + 2 + 128 // the head, two snapshots, the changes since the older snapshot
	require.LessOrEqual(t, kv.Len(), maxKeys, "old changes and snapshots are trimmed")
}

func TestSameChangeIDIsAppliedOnce(t *testing.T) {
	s := confstore.New(consultest.NewMemory(nil))
	first := submit(t, s, "same", putTeam("a", 1))
	require.Equal(t, first, submit(t, s, "same", putTeam("a", 2)))
	cfg, _, err := s.Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, 1.0, cfg.Weight("a"))
}

func TestInvalidChangeIsNotStored(t *testing.T) {
	kv := consultest.NewMemory(nil)
	_, err := confstore.New(kv).Submit(context.Background(), "bad", putTeam("NOT A NAME", 1))
	var invalid *conf.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Zero(t, kv.Len())
}

// TestConcurrentSubmits submits changes concurrently to a store that loses calls
// and answers. It guards against a wrong outcome: an accepted change that is not
// in the log, a conflicting one that is, or a conflict of different items.
func TestConcurrentSubmits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		operators := rapid.IntRange(2, 5).Draw(rt, "operators")
		sameItem := rapid.Bool().Draw(rt, "same item")
		simtime.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			kv := consultest.NewMemory(func(call string) (bool, bool) {
				if call != "cas" {
					return true, true
				}
				roll := rng.IntN(10)
				return roll > 1, roll > 4 // 20 % of calls are lost, 30 % of answers
			})
			s := confstore.New(kv)
			errs := make([]error, operators)
			var wg sync.WaitGroup
			for i := range operators {
				name := fmt.Sprintf("t%d", i)
				if sameItem {
					name = "shared"
				}
				wg.Go(func() {
					_, errs[i] = s.Submit(context.Background(), fmt.Sprintf("op%d", i), putTeam(name, float64(i+1)))
				})
			}
			wg.Wait()
			kv.SetFault(nil)
			checkOutcomes(t, s, errs, sameItem)
		})
	})
}

// checkOutcomes compares the result of each Submit with the log.
func checkOutcomes(t *testing.T, s *confstore.Store, errs []error, sameItem bool) {
	_, changes, err := s.Load(context.Background())
	require.NoError(t, err)
	accepted := map[string]int{}
	for i, ch := range changes {
		require.Equal(t, uint64(i+1), ch.Version)
		accepted[ch.ChangeID]++
	}
	for i, err := range errs {
		n := accepted[fmt.Sprintf("op%d", i)]
		var conflict *confstore.ConflictError
		var unresolved *confstore.OutcomeUnknownError
		switch {
		case err == nil:
			require.Equal(t, 1, n, "operator %d: Submit succeeded", i)
		case errors.As(err, &conflict):
			require.Zero(t, n, "operator %d: Submit returned a conflict", i)
			require.True(t, sameItem, "changes of different items do not conflict")
		default:
			require.ErrorAs(t, err, &unresolved)
			require.LessOrEqual(t, n, 1)
		}
	}
}

// TestLargeConfigurationIsSplit guards against values above the store's size
// limit and against losing services when the parts are joined.
func TestLargeConfigurationIsSplit(t *testing.T) {
	kv := consultest.NewMemory(nil)
	s := confstore.New(kv)
	const batches, perBatch = 70, 150
	for b := range batches {
		submit(t, s, fmt.Sprintf("b%d", b), func(*conf.Config) (conf.Items, conf.Names, error) {
			return largeItems(b, perBatch), conf.Names{}, nil
		})
	}
	require.Less(t, kv.LargestValue(), 1<<20)
	cfg, _, err := s.Load(context.Background())
	require.NoError(t, err)
	require.Len(t, cfg.Services, batches*perBatch)
	require.NoError(t, cfg.Validate())
}

func largeItems(batch, n int) conf.Items {
	items := conf.Items{Zones: []conf.Zone{{Name: "zone-a", Region: "region-a"}}}
	for i := range n {
		name := fmt.Sprintf("service-%d-%d", batch, i)
		items.Services = append(items.Services, conf.Service{Name: name, Upstreams: []conf.Upstream{
			{Name: name + "-a", Zone: "zone-a", Address: "10.0.0.1:5432", Slots: 4, Connections: 40},
			{Name: name + "-b", Zone: "zone-a", Address: "10.0.0.2:5432", Slots: 4, Connections: 40},
			{Name: name + "-c", Zone: "zone-a", Address: "10.0.0.3:5432", Slots: 4, Connections: 40},
		}})
	}
	return items
}
