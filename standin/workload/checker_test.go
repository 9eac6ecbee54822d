package workload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

const (
	service = "svc"
	subject = "s1"
)

// Guards against a violation that is missed or counted in the wrong field.
func TestCheckerCountsEachViolation(t *testing.T) {
	start := time.Now()
	read := func(values, own []string, maxStaleness time.Duration) func(c *workload.Checker) {
		return func(c *workload.Checker) {
			c.CheckRead(workload.Read{
				Service: service, Subject: subject, Values: values, OwnWrites: own,
				Started: start.Add(10 * time.Second), Staleness: maxStaleness,
			})
		}
	}
	contents := func(values ...string) func(c *workload.Checker) {
		return func(c *workload.Checker) {
			var rows []workload.Row
			for _, v := range values {
				rows = append(rows, workload.Row{Subject: subject, Value: v})
			}
			c.CheckContents(rows)
		}
	}
	for name, tc := range map[string]struct {
		outcome workload.WriteOutcome
		check   func(c *workload.Checker)
		want    workload.Violations
	}{
		"acknowledged and stored":    {workload.OutcomeAcked, contents("v"), workload.Violations{}},
		"acknowledged but lost":      {workload.OutcomeAcked, contents(), workload.Violations{WritesLost: 1}},
		"stored twice":               {workload.OutcomeAcked, contents("v", "v"), workload.Violations{WritesDoubled: 1}},
		"refused but stored":         {workload.OutcomeNotRun, contents("v"), workload.Violations{NotRunButRan: 1}},
		"unknown and lost":           {workload.OutcomeUnknown, contents(), workload.Violations{}},
		"unknown and stored":         {workload.OutcomeUnknown, contents("v"), workload.Violations{}},
		"unknown and stored twice":   {workload.OutcomeUnknown, contents("v", "v"), workload.Violations{WritesDoubled: 1}},
		"never written but stored":   {workload.OutcomeAcked, contents("v", "unwritten"), workload.Violations{WrongAnswers: 1}},
		"complete read":              {workload.OutcomeAcked, read([]string{"v"}, []string{"v"}, 0), workload.Violations{}},
		"own write missing":          {workload.OutcomeAcked, read(nil, []string{"v"}, time.Hour), workload.Violations{RYWViolations: 1}},
		"staler than allowed":        {workload.OutcomeAcked, read(nil, nil, 5*time.Second), workload.Violations{StalenessViolations: 1}},
		"stale as allowed":           {workload.OutcomeAcked, read(nil, nil, 20*time.Second), workload.Violations{}},
		"unknown value in an answer": {workload.OutcomeAcked, read([]string{"v", "unwritten"}, nil, 0), workload.Violations{WrongAnswers: 1}},
		"duplicate row in an answer": {workload.OutcomeAcked, read([]string{"v", "v"}, nil, 0), workload.Violations{WrongAnswers: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := workload.NewChecker()
			c.RecordAttempt(service, subject, "v")
			c.RecordOutcome("v", tc.outcome, start)
			tc.check(c)
			got, _ := c.Results()
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.want != workload.Violations{}, got.Any())
		})
	}
}

func TestSpecsAreValid(t *testing.T) {
	for _, name := range workload.Names() {
		spec, err := workload.Get(name)
		require.NoError(t, err)
		sum := 0.0
		for _, c := range spec.Classes {
			sum += c.Share
		}
		require.InDelta(t, 1, sum, 1e-9)
		dep, err := workload.Deploy(spec)
		require.NoError(t, err)
		cfg, err := (&conf.Config{}).Apply(conf.Change{Version: 1, Put: dep.Items()})
		require.NoError(t, err)
		require.NoError(t, cfg.Validate())
		dep.Close()
	}
	_, err := workload.Get("nonesuch")
	var unknown *workload.UnknownError
	require.ErrorAs(t, err, &unknown)
}
