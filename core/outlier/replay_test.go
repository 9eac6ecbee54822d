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
	// The trouble begins at second 10 and lasts for seven seconds unless said otherwise.
	troubleAt, usualTrouble, replayEnd = 10 * time.Second, 7 * time.Second, 30 * time.Second
)

var seeds = []uint64{1, 2, 3, 4, 5, 6}

// trouble is what happens to member 1, a replica, and to all members.
type trouble struct {
	failShare              float64
	slowFactor, loadFactor time.Duration
	withoutEjection        bool
	lasts                  time.Duration
}

// replay runs the reads of one group without a network. Hosts prefer replicas, keep the
// verdict that lasts longest, and try the next member after a refusal.
type replay struct {
	trouble
	rng     *rand.Rand
	pending map[time.Duration][]func()
	// Gate g of member m is host m*gatesPerMember+g, which knows the other members by its
	// own callers' reads.
	detectors [members][gatesPerMember]outlier.Detector
	remote    [hosts][members]outlier.Window
	verdicts  [hosts][members]time.Duration

	failed, refused, unserved int
	ejections                 [members]int
	firstEjection             time.Duration
	// onMember1 counts the statements that ran on member 1, by second.
	onMember1 [replayEnd / time.Second]int
}

func run(seed uint64, t trouble) *replay {
	r := &replay{trouble: t, rng: rand.New(rand.NewPCG(seed, 1)), pending: map[time.Duration][]func(){}}
	for now := time.Duration(0); now < replayEnd; now += ms {
		for _, f := range r.pending[now] {
			f()
		}
		delete(r.pending, now)
		if r.rng.Float64() < readsPerSecond*ms.Seconds() && !r.read(now) {
			r.unserved++
		}
	}
	return r
}

func (r *replay) read(now time.Duration) bool {
	host, team := r.rng.IntN(hosts), r.rng.IntN(79)
	order := [][]int{{1, 2, 0}, {2, 1, 0}}[r.rng.IntN(2)]
	for _, ejected := range []bool{false, true} {
		for _, m := range order {
			if (now < r.verdicts[host][m]) == ejected && r.send(host, m, team, now) {
				return true
			}
		}
	}
	return false
}

// send reports whether the member's gate takes the read. The primary refuses nothing.
func (r *replay) send(host, m, team int, now time.Duration) bool {
	d := &r.detectors[m][team%gatesPerMember]
	admission := outlier.Admitted
	if !r.withoutEjection && m != 0 {
		admission = d.Admit(false, now)
	}
	if admission == outlier.Refused {
		r.refused++
		r.verdicts[host][m] = max(r.verdicts[host][m], d.Verdict(now).Until)
		return false
	}
	slotTimes := []float64{18, 18, 30}
	s := outlier.Sample{Took: time.Duration(slotTimes[r.rng.IntN(3)]*(0.6+0.4*r.rng.ExpFloat64())) * ms, Team: string(rune('A' + team))}
	if now >= troubleAt && now < troubleAt+max(r.lasts, usualTrouble) {
		s.Took *= max(r.loadFactor, 1)
		if m == 1 {
			s.Took *= max(r.slowFactor, 1)
			s.Failed = r.rng.Float64() < r.failShare
		}
	}
	if s.Failed {
		s.Took = 2 * ms
		r.failed++
	}
	if m == 1 {
		r.onMember1[now/time.Second]++
	}
	s.At = now + s.Took
	r.pending[s.At] = append(r.pending[s.At], func() { r.answer(host, m, team%gatesPerMember, admission, s) })
	return true
}

func (r *replay) answer(host, m, gate int, admission outlier.Admission, s outlier.Sample) {
	d := &r.detectors[m][gate]
	r.remote[host][m].Add(s)
	change, suspicious := d.Observe(s)
	r.count(m, change, s.At)
	if suspicious {
		var peers []outlier.Peer
		for other := range members {
			if gateHost := m*gatesPerMember + gate; other != m {
				peers = append(peers, outlier.PeerOf(&r.remote[gateHost][other], s.At < r.verdicts[gateHost][other], s.At))
			}
		}
		r.count(m, d.Judge(peers, s.At), s.At)
	}
	if admission == outlier.AsProbe {
		r.count(m, d.ProbeEnded(true, s.Failed, s.Took, s.At), s.At)
	}
	if !r.withoutEjection {
		r.verdicts[host][m] = max(r.verdicts[host][m], d.Verdict(s.At).Until)
	}
}

func (r *replay) count(m int, c outlier.Change, now time.Duration) {
	if c != outlier.Ejected {
		return
	}
	r.ejections[m]++
	if r.firstEjection == 0 {
		r.firstEjection = now
	}
}

// TestMemberThatFailsEverything guards against a member that fails all statements while its
// health check passes, and so fails the reads of its group.
func TestMemberThatFailsEverything(t *testing.T) {
	for _, seed := range seeds {
		without := run(seed, trouble{failShare: 1, withoutEjection: true})
		r := run(seed, trouble{failShare: 1})
		t.Logf("seed %d: failed %d, without ejection %d; on the member by second %v; refused %d", seed, r.failed, without.failed, r.onMember1, r.refused)
		require.Less(t, float64(r.failed), 0.002*dayOperations)
		for _, n := range r.onMember1[12:17] {
			require.LessOrEqual(t, n, gatesPerMember, "one probe per gate and second")
		}
		require.Zero(t, r.unserved+r.ejections[0]+r.ejections[2])
		require.Greater(t, r.onMember1[29], 20, "the member is used again")
	}
}

// TestMemberThatFailsAShare guards against a member that fails 0.4 of its statements and
// keeps its share of the reads.
func TestMemberThatFailsAShare(t *testing.T) {
	failed, without := 0, 0
	for _, seed := range seeds {
		r := run(seed, trouble{failShare: 0.4})
		failed, without = failed+r.failed, without+run(seed, trouble{failShare: 0.4, withoutEjection: true}).failed
		require.Zero(t, r.unserved+r.ejections[0]+r.ejections[2])
	}
	t.Logf("failed %d, without ejection %d", failed, without)
	require.Less(t, failed, without/2)
}

// TestSlowMemberIsEjected guards against reads on a member that takes five times as long as
// its peers. A gate sees about one statement a second on the peers, so that it takes seconds
// to tell a slow member from a high load.
func TestSlowMemberIsEjected(t *testing.T) {
	for _, seed := range seeds {
		r := run(seed, trouble{slowFactor: 5, lasts: 15 * time.Second})
		t.Logf("seed %d: first ejection after %v, ejections %v", seed, r.firstEjection-troubleAt, r.ejections)
		require.NotZero(t, r.ejections[1])
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
