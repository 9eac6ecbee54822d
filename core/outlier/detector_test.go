package outlier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/outlier"
)

// fail ejects a member by failures of two teams at a time.
func fail(t *testing.T, d *outlier.Detector, now time.Duration) {
	t.Helper()
	for i := range 6 {
		d.Observe(outlier.Sample{At: now, Took: 2 * ms, Failed: true, Team: []string{"a", "b"}[i%2]})
	}
	require.Equal(t, outlier.Ejected, d.Judge(nil, now))
}

// TestLoneFailuresEjectNobody guards against a member of a group with little traffic that is
// ejected for single failures of statements.
func TestLoneFailuresEjectNobody(t *testing.T) {
	var d outlier.Detector
	for i := range 200 {
		now := time.Duration(i) * 700 * ms
		_, suspicious := d.Observe(outlier.Sample{At: now, Took: 18 * ms, Failed: i%3 == 0, Team: "a"})
		require.False(t, suspicious && d.Judge(nil, now) != outlier.Unchanged)
	}
}

// TestFailuresOfOneTeamEjectNobody guards against one team's faulty statements that take a
// healthy member from all others.
func TestFailuresOfOneTeamEjectNobody(t *testing.T) {
	var d outlier.Detector
	for i := range 500 {
		now := time.Duration(i) * 20 * ms
		team := []string{"faulty", "faulty", "other"}[i%3]
		_, suspicious := d.Observe(outlier.Sample{At: now, Took: 18 * ms, Failed: team == "faulty", Team: team})
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
			readmitted := d.ProbeEnded(true, false, 18*ms, now+ms) == outlier.Readmitted
			require.Equal(t, probe == 2, readmitted)
			now += 2 * ms
		}
		require.Equal(t, outlier.Admitted, d.Admit(false, now))
		require.Zero(t, d.Verdict(now))
	}
	now += time.Minute
	fail(t, &d, now)
	require.Equal(t, now+time.Second, d.Verdict(now).Until)
}

// TestProbesDuringEjection guards against more than one probe a second, against a
// transaction as a probe, which could not move to another member, and against a member that
// is not readmitted by successful probes.
func TestProbesDuringEjection(t *testing.T) {
	var d outlier.Detector
	for i, now := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 11 * time.Second} {
		if i > 0 {
			require.Equal(t, outlier.AsProbe, d.Admit(false, now))
			require.Equal(t, outlier.Ejected, d.ProbeEnded(true, true, 2*ms, now))
		} else {
			fail(t, &d, now)
		}
	}
	require.Equal(t, 19*time.Second, d.Verdict(11*time.Second).Until)
	require.Equal(t, outlier.Refused, d.Admit(true, 15*time.Second))
	var probes []time.Duration
	for now := 11 * time.Second; now < 19*time.Second; now += 100 * ms {
		if d.Admit(false, now) == outlier.AsProbe {
			probes = append(probes, now)
			d.ProbeEnded(true, false, 18*ms, now)
		}
		if !d.Verdict(now).Active(now) {
			break
		}
	}
	require.Equal(t, []time.Duration{15 * time.Second, 16 * time.Second, 17 * time.Second}, probes)
}

// TestPrimaryWithoutProbes guards against a verdict about a primary, whose statements are
// never refused, that is given again for a lone failure after it has recovered, or that ends
// while it still fails.
func TestPrimaryWithoutProbes(t *testing.T) {
	var d outlier.Detector
	fail(t, &d, time.Second)
	now := 1500 * ms
	for i := range 6 {
		d.Observe(outlier.Sample{At: now, Failed: true, Team: []string{"a", "b"}[i%2]})
	}
	d.Judge(nil, now)
	require.True(t, d.Verdict(2300*ms).Active(2300*ms))
	for now = 3 * time.Second; now < 4*time.Second; now += 100 * ms {
		d.Observe(outlier.Sample{At: now, Took: 6 * ms})
	}
	change, _ := d.Observe(outlier.Sample{At: now, Failed: true})
	require.Equal(t, outlier.Unchanged, change)
	require.Zero(t, d.Verdict(now))
}
