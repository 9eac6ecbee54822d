package group_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/dotterelswitch/dotterelswitch/core/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestSafety runs the controllers over an adversarial network. It checks, at
// every step, that no acknowledged write is lost, that a term has one primary,
// that freshness is a bound and that tokens can be satisfied.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rt)
		steps := []func(){
			c.tick, c.tick, c.tick, c.burst, c.burst, c.burst, c.deliver, c.deliver,
			c.write, c.replicate, c.replicate, c.drop, c.acknowledge, c.checkFresh, c.checkTokens,
		}
		for range rapid.IntRange(500, 2000).Draw(rt, "steps") {
			steps[c.pick(0, len(steps)-1)]()
			if c.pick(0, 60) == 0 {
				c.crash()
			}
			if c.pick(0, 80) == 0 {
				c.partition()
			}
			if c.pick(0, 40) == 0 {
				c.handover()
			}
		}
		promotions.add(len(c.primary) - 1)
		acknowledgements.add(len(c.acked))
	})
	t.Logf("promotions in all runs: %d, acknowledged writes: %d", promotions.n, acknowledgements.n)
	if promotions.n == 0 || acknowledgements.n == 0 {
		t.Fatal("the runs never got as far as a promotion and an acknowledgement, so they prove nothing")
	}
}

// counter sums over the cases of a property.
type counter struct{ n int }

func (c *counter) add(n int) { c.n += n }

var promotions, acknowledgements counter
