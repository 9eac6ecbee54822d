package outlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outlier"
)

// fail ejects a member by failures of two teams.
func fail(t *testing.T, d *outlier.Detector, now time.Duration) {
	t.Helper()
	for _, team := range []string{"a", "b", "a", "b", "a"} {
		d.Observe(outlier.Sample{At: now, Took: 2 * ms, Failed: true, Team: team})
	}
	require.Equal(t, outlier.Ejected, d.Judge(nil, now))
}

// TestSingleFailuresEjectNobody guards against a member of a group with little traffic that
// is ejected for lone failures, and against one team's faulty statements that take a healthy
// member from all others.
func TestSingleFailuresEjectNobody(t *testing.T) {
	for interval, faulty := range map[time.Duration]int{700 * ms: 1, 20 * ms: 2} {
		var d outlier.Detector
		for i := range 500 {
			now := time.Duration(i) * interval
			s := outlier.Sample{At: now, Took: 18 * ms, Failed: i%3 < faulty, Team: "other"}
			if s.Failed {
				s.Team = "faulty"
			}
			_, suspicious := d.Observe(s)
			require.False(t, suspicious && d.Judge(nil, now) != outlier.Unchanged, "interval %v, statement %d", interval, i)
		}
	}
}

// TestLoneFailuresBesideFaultyTeam guards against a healthy member that is ejected because a
// lone failure of another team falls among the many failures of one team.
func TestLoneFailuresBesideFaultyTeam(t *testing.T) {
	var d outlier.Detector
	for i := range 2000 {
		now := time.Duration(i) * 5 * ms
		s := outlier.Sample{At: now, Took: 18 * ms, Failed: true, Team: "faulty"}
		if i%5 == 0 {
			s.Team, s.Failed = string(rune('a'+i/5%20)), i%100 == 50
		}
		_, suspicious := d.Observe(s)
		require.False(t, suspicious && d.Judge(nil, now) != outlier.Unchanged, "statement %d", i)
	}
}

// TestEjectionsGrowAndEnd guards against a flapping member that is tried again every second,
// and against one that stays ejected after it has recovered.
func TestEjectionsGrowAndEnd(t *testing.T) {
	var d outlier.Detector
	now := time.Second
	for _, length := range []time.Duration{1, 2, 4, 8, 8} {
		fail(t, &d, now)
		require.Equal(t, now+length*time.Second, d.Verdict(now).Until)
		require.Equal(t, outlier.Refused, d.Admit(false, now+ms), "the ejection counts as a probe")
		now = d.Verdict(now).Until
		for probe := range 3 {
			require.Equal(t, outlier.AsProbe, d.Admit(false, now))
			require.Equal(t, outlier.Refused, d.Admit(false, now), "one probe at a time")
			require.Equal(t, probe == 2, d.ProbeEnded(true, false, 18*ms, now+ms) == outlier.Readmitted)
			now += 2 * ms
		}
		require.Equal(t, outlier.Admitted, d.Admit(false, now))
		require.Zero(t, d.Verdict(now))
	}
	now += time.Minute
	fail(t, &d, now)
	require.Equal(t, now+time.Second, d.Verdict(now).Until, "the member was healthy for long")
}

// TestProbesDuringEjection guards against more than one probe a second, against a
// transaction as a probe, which could not move to another member, and against a member that
// is not readmitted by successful probes.
func TestProbesDuringEjection(t *testing.T) {
	var d outlier.Detector
	fail(t, &d, 0)
	for _, now := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second} {
		require.Equal(t, outlier.AsProbe, d.Admit(false, now))
		require.Equal(t, outlier.Ejected, d.ProbeEnded(true, true, 2*ms, now))
	}
	var probes []time.Duration
	for now := 7 * time.Second; d.Verdict(now).Active(now); now += 100 * ms {
		require.Equal(t, outlier.Refused, d.Admit(true, now))
		if d.Admit(false, now) == outlier.AsProbe {
			probes = append(probes, now)
			d.ProbeEnded(true, false, 18*ms, now)
		}
	}
	require.Equal(t, []time.Duration{11 * time.Second, 12 * time.Second, 13 * time.Second}, probes)
}

// TestPrimaryWithoutProbes guards against a verdict about a primary, whose statements are
// never refused, that ends while it fails or is given again for a lone failure later.
func TestPrimaryWithoutProbes(t *testing.T) {
	var d outlier.Detector
	fail(t, &d, time.Second)
	for range 5 {
		d.Observe(outlier.Sample{At: 1500 * ms, Failed: true})
	}
	d.Judge(nil, 1500*ms)
	require.True(t, d.Verdict(2300*ms).Active(2300*ms))
	for i := range 3 {
		d.Observe(outlier.Sample{At: 3*time.Second + time.Duration(i)*ms, Took: 6 * ms})
	}
	change, _ := d.Observe(outlier.Sample{At: 4 * time.Second, Failed: true})
	require.Equal(t, outlier.Unchanged, change)
}

// TestBusyMemberIsEjectedAtOnce guards against the successes of the last second that hide
// the failures of a member that runs 400 statements a second.
func TestBusyMemberIsEjectedAtOnce(t *testing.T) {
	var d outlier.Detector
	now, failures := time.Duration(0), 0
	for ; now < time.Second; now += 2500 * time.Microsecond {
		d.Observe(outlier.Sample{At: now, Took: 2 * ms})
	}
	for change := outlier.Unchanged; change != outlier.Ejected && failures < 100; failures++ {
		d.Observe(outlier.Sample{At: now, Took: 2 * ms, Failed: true})
		change = d.Judge(nil, now)
		now += 2500 * time.Microsecond
	}
	require.Equal(t, 5, failures)
}

// healthyPeer returns a peer that has run a read every 50 ms until now.
func healthyPeer(now time.Duration) outlier.Peer {
	var w outlier.Window
	for at := now - 3*time.Second; at < now; at += 50 * ms {
		w.Add(outlier.Sample{At: at, Took: 18 * ms})
	}
	return outlier.PeerOf(&w, false, now)
}

// TestPrimaryIsEjectedForHalfOfItsStatementsOnly guards against a change of the primary for
// a share of failures that its writes have and the reads of its peers do not, and for lone
// failures after an ejection.
func TestPrimaryIsEjectedForHalfOfItsStatementsOnly(t *testing.T) {
	for _, primary := range []bool{false, true} {
		for _, relapse := range []bool{false, true} {
			var d outlier.Detector
			now, ejections := time.Minute, 0
			if relapse {
				fail(t, &d, now)
				now = d.Verdict(now).Until
			}
			d.SetPrimary(primary)
			for i := range 200 {
				now += 20 * ms
				change, suspicious := d.Observe(outlier.Sample{At: now, Took: 6 * ms, Failed: i%3 == 0, Team: string(rune('a' + i%7))})
				if suspicious {
					change = max(change, d.Judge([]outlier.Peer{healthyPeer(now)}, now))
				}
				if change == outlier.Ejected {
					ejections++
				}
			}
			require.Equal(t, primary, ejections == 0, "primary %v, relapse %v: %d ejections", primary, relapse, ejections)
		}
	}
}

// TestPrimaryThatFailsHalfStaysEjected guards against a primary that goes on failing half of
// its statements and whose verdict is not renewed before the switchover begins.
func TestPrimaryThatFailsHalfStaysEjected(t *testing.T) {
	var d outlier.Detector
	d.SetPrimary(true)
	ejected := time.Duration(0)
	for i := range 500 {
		now := time.Minute + time.Duration(i)*20*ms
		_, suspicious := d.Observe(outlier.Sample{At: now, Took: 6 * ms, Failed: i%2 == 0, Team: string(rune('a' + i%7))})
		if suspicious {
			d.Judge([]outlier.Peer{healthyPeer(now)}, now)
		}
		if d.Verdict(now).Cause == outlier.Failing {
			ejected += 20 * ms
		}
	}
	require.Greater(t, ejected, 9*time.Second)
}
