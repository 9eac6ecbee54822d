package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outlier"
)

const (
	ms = time.Millisecond
	// One group of deployment A: 80 reads a second from 74 hosts for two replicas and a
	// primary, six gates per member. The day has 808 operations a second in 34 seconds.
	hosts, members, gatesPerMember = 74, 3, 6
	readsPerSecond                 = 80
	dayOperations                  = 808 * 34
	// The trouble lasts from second 10 to second 17; the replay ends at second 30.
	troubleAt, troubleEnd, replayEnd = 10 * time.Second, 17 * time.Second, 30 * time.Second
)

// trouble is what happens to member 1, a replica, and to all members.
type trouble struct {
	failShare    float64
	slowFactor   time.Duration
	loadFactor   time.Duration
	withoutEject bool
}

// replay runs the reads of one group without a network. Hosts prefer replicas, keep the
// verdict that lasts longest, and try the next member after a refusal.
type replay struct {
	trouble
	rng     *rand.Rand
	pending map[time.Duration][]func()
	// detectors by member and gate. Gate g of member m is host m*gatesPerMember+g, which
	// knows the other members by its own callers' reads.
	detectors [members][gatesPerMember]outlier.Detector
	remote    [hosts][members]outlier.Window
	verdicts  [hosts][members]time.Duration

	failed, refused, unserved int
	// onMember1 counts the statements that ran on member 1, by second.
	onMember1  map[int]int
	ejections  [members]int
	firstOn1   time.Duration
	readmitted time.Duration
}

func run(seed uint64, t trouble) *replay {
	r := &replay{trouble: t, rng: rand.New(rand.NewPCG(seed, 1)), pending: map[time.Duration][]func(){}, onMember1: map[int]int{}}
	for now := time.Duration(0); now < replayEnd; now += ms {
		for _, f := range r.pending[now] {
			f()
		}
		delete(r.pending, now)
		if r.rng.Float64() < readsPerSecond*ms.Seconds() {
			r.read(now)
		}
	}
	return r
}

func (r *replay) read(now time.Duration) {
	host, team := r.rng.IntN(hosts), r.rng.IntN(79)
	order := []int{1, 2, 0}
	if r.rng.IntN(2) == 0 {
		order = []int{2, 1, 0}
	}
	for _, ejected := range []bool{false, true} {
		for _, m := range order {
			if (now < r.verdicts[host][m]) == ejected && r.send(host, m, team, now) {
				return
			}
		}
	}
	r.unserved++
}

// send reports whether the member's gate takes the read.
func (r *replay) send(host, m, team int, now time.Duration) bool {
	gate := team % gatesPerMember
	d := &r.detectors[m][gate]
	admission := outlier.Admitted
	if !r.withoutEject && m != 0 {
		admission = d.Admit(false, now)
	}
	if admission == outlier.Refused {
		r.refused++
		r.verdicts[host][m] = max(r.verdicts[host][m], d.Verdict(now).Until)
		return false
	}
	troubled := now >= troubleAt && now < troubleEnd
	slotTimes := []float64{18, 18, 30}
	took := time.Duration(slotTimes[r.rng.IntN(3)]*(0.6+0.4*r.rng.ExpFloat64())) * ms
	if troubled && r.loadFactor > 0 {
		took *= r.loadFactor
	}
	failed := troubled && m == 1 && r.rng.Float64() < r.failShare
	switch {
	case failed:
		took = 2 * ms
	case troubled && m == 1 && r.slowFactor > 0:
		took *= r.slowFactor
	}
	if m == 1 {
		r.onMember1[int(now/time.Second)]++
	}
	done := now + took
	r.pending[done] = append(r.pending[done], func() { r.answer(host, m, team, admission, failed, took, done) })
	return true
}

func (r *replay) answer(host, m, team int, admission outlier.Admission, failed bool, took, now time.Duration) {
	if failed {
		r.failed++
	}
	gate := team % gatesPerMember
	d := &r.detectors[m][gate]
	s := outlier.Sample{At: now, Took: took, Failed: failed, Team: string(rune('A' + team))}
	r.remote[host][m].Add(s)
	change, suspicious := d.Observe(s)
	r.count(m, change, now)
	if suspicious {
		var peers []outlier.Peer
		for other := range members {
			if other != m {
				gateHost := m*gatesPerMember + gate
				peers = append(peers, outlier.PeerOf(&r.remote[gateHost][other], now < r.verdicts[gateHost][other], now))
			}
		}
		r.count(m, d.Judge(peers, now), now)
	}
	if admission == outlier.AsProbe {
		r.count(m, d.ProbeEnded(true, failed, took, now), now)
	}
	if !r.withoutEject {
		r.verdicts[host][m] = max(r.verdicts[host][m], d.Verdict(now).Until)
	}
}

func (r *replay) count(m int, c outlier.Change, now time.Duration) {
	switch {
	case c == outlier.Ejected:
		r.ejections[m]++
		if m == 1 && r.firstOn1 == 0 {
			r.firstOn1 = now
		}
	case c == outlier.Readmitted && m == 1:
		r.readmitted = now
	}
}

var seeds = []uint64{1, 2, 3, 4, 5, 6}

// TestMemberThatFailsEverything guards against a member that fails all statements while its
// health check passes, and so attracts and fails the reads of its group.
func TestMemberThatFailsEverything(t *testing.T) {
	for _, seed := range seeds {
		without := run(seed, trouble{failShare: 1, withoutEject: true})
		r := run(seed, trouble{failShare: 1})
		t.Logf("seed %d: failed %d (%.5f of the day), without ejection %d; statements on the member by second %v; trips refused %d; readmitted %v",
			seed, r.failed, float64(r.failed)/dayOperations, without.failed, perSecond(r), r.refused, r.readmitted)
		require.Less(t, float64(r.failed), 0.002*dayOperations)
		for second := 12; second < 17; second++ {
			require.LessOrEqual(t, r.onMember1[second], gatesPerMember)
		}
		require.Zero(t, r.unserved)
		require.Zero(t, r.ejections[0]+r.ejections[2])
		require.Greater(t, r.onMember1[29], 20, "the member is used again")
	}
}

func perSecond(r *replay) []int {
	var out []int
	for second := 9; second < 30; second++ {
		out = append(out, r.onMember1[second])
	}
	return out
}

// TestMemberThatFailsAShare guards against a member that fails 0.4 of its statements and
// keeps its share of the reads.
func TestMemberThatFailsAShare(t *testing.T) {
	failed, without := 0, 0
	for _, seed := range seeds {
		r := run(seed, trouble{failShare: 0.4})
		failed, without = failed+r.failed, without+run(seed, trouble{failShare: 0.4, withoutEject: true}).failed
		t.Logf("seed %d: failed %d, on the member by second %v, ejections %v", seed, r.failed, perSecond(r), r.ejections)
		require.Zero(t, r.ejections[0]+r.ejections[2])
		require.Zero(t, r.unserved)
	}
	t.Logf("failed %d, without ejection %d", failed, without)
	require.Less(t, failed, without/2)
}

// TestSlowMemberIsEjected guards against reads on a member that takes five times as long as
// its peers.
func TestSlowMemberIsEjected(t *testing.T) {
	for _, seed := range seeds {
		r := run(seed, trouble{slowFactor: 5})
		t.Logf("seed %d: first ejection at %v, on the member by second %v, ejections %v", seed, r.firstOn1, perSecond(r), r.ejections)
		require.NotZero(t, r.ejections[1])
		require.Less(t, r.firstOn1, troubleEnd)
		require.Zero(t, r.ejections[0]+r.ejections[2])
	}
}

// TestHighLoadEjectsNobody guards against members that are ejected because all of them
// have become slow.
func TestHighLoadEjectsNobody(t *testing.T) {
	for seed := range uint64(30) {
		for _, factor := range []time.Duration{3, 6, 12} {
			require.Zero(t, run(seed, trouble{loadFactor: factor}).ejections, "seed %d, factor %d", seed, factor)
		}
	}
}
