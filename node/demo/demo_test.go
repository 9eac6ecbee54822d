package demo_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/demo"
)

// TestGuaranteesHoldUnderFaults runs complete deployments over real sockets. It
// checks guarantees and that requests are served, but no durations.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		workload string
		faults   string
	}{
		{"archive", "none"},
		{"archive", "primary-crash+host-kill"},
		{"consortium", "primary-partition+store-outage"},
		{"consortium", "az-cut"},
		{"archive", "rolling-restart"},
		{"consortium", "drain-primary"},
	} {
		t.Run(tc.workload+" "+tc.faults, func(t *testing.T) {
			t.Parallel()
			faults, err := demo.ParseFaults(tc.faults)
			require.NoError(t, err)
			report, err := demo.Run(t.Context(), demo.Options{
				Workload: tc.workload, Faults: faults, Hosts: 5, Callers: 12, Duration: 8 * time.Second,
				Seed: 1, Progress: io.Discard, Log: newFailureLog(t),
			})
			require.NoError(t, err)
			require.False(t, report.Violations.Any(), "%+v %v", report.Violations, report.Errors)
			require.Positive(t, report.WritesAcked)
			require.Positive(t, report.Reads)
			require.Zero(t, report.SlotBreaches, "more concurrent statements than slots")
			if tc.faults == "rolling-restart" {
				require.Positive(t, report.Restarts)
				require.Zero(t, report.UnansweredRequests)
				require.Zero(t, report.WritesUnknown)
			}
			if tc.faults == "drain-primary" {
				require.Zero(t, report.UnansweredRequests)
				require.Positive(t, report.Promotions, "the primary was not replaced")
			}
			if tc.faults == "none" {
				require.Zero(t, report.UnansweredRequests)
				require.Zero(t, report.WritesUnknown)
				require.Nil(t, report.FailoverGapMS)
				require.Zero(t, report.ConnectionsRefused, "more connections than the limit")
			}
		})
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := demo.ParseFaults("primary-crash+earthquake")
	var unknown *demo.FaultError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "earthquake", unknown.Name)
}
