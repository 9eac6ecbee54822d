package group_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestSafety runs several controllers over an adversarial network and checks
// that no acknowledged write is lost, that a term has one primary, that the
// freshness bound holds and that session tokens can be satisfied.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt)
		steps := []func(){
			c.tick, c.tick, c.tick, c.burst, c.burst, c.burst, c.deliver, c.deliver,
			c.write, c.replicate, c.replicate, c.drop, c.acknowledge, c.checkFreshness, c.checkTokens,
		}
		for range rapid.IntRange(500, 2000).Draw(rt, "steps") {
			steps[c.randomInt(0, len(steps)-1)]()
			if c.randomInt(0, 60) == 0 {
				c.crash()
			}
			if c.randomInt(0, 80) == 0 {
				c.partition()
			}
			if c.randomInt(0, 40) == 0 {
				c.switchover()
			}
		}
		promotions.add(len(c.primaryOf) - 1)
		acknowledgements.add(len(c.acked))
	})
	t.Logf("promotions in all runs: %d, acknowledged writes: %d", promotions.n, acknowledgements.n)
	if promotions.n == 0 || acknowledgements.n == 0 {
		t.Fatal("no run completed a promotion and acknowledged a write, so the property was not exercised")
	}
}

// counter sums over all cases of a property.
type counter struct{ n int }

func (c *counter) add(n int) { c.n += n }

var promotions, acknowledgements counter
