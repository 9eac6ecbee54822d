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

// TestCheckerSeesEachFault seeds one fault of each kind and expects exactly
// its field to count it.
func TestCheckerSeesEachFault(t *testing.T) {
	start := time.Now()
	read := func(values, own []string, bound time.Duration) func(c *workload.Checker) {
		return func(c *workload.Checker) {
			c.CheckRead(workload.Read{
				Service: service, Subject: subject, Values: values, Own: own,
				Started: start.Add(10 * time.Second), Staleness: bound,
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
		fate workload.Fate
		then func(c *workload.Checker)
		want workload.Violations
	}{
		"nothing wrong":            {workload.FateAcked, contents("v"), workload.Violations{}},
		"acknowledged but lost":    {workload.FateAcked, contents(), workload.Violations{WritesLost: 1}},
		"stored twice":             {workload.FateAcked, contents("v", "v"), workload.Violations{WritesDoubled: 1}},
		"refused but stored":       {workload.FateNotRun, contents("v"), workload.Violations{NotRunButRan: 1}},
		"unknown and lost":         {workload.FateUnknown, contents(), workload.Violations{}},
		"unknown and stored":       {workload.FateUnknown, contents("v"), workload.Violations{}},
		"unknown and stored twice": {workload.FateUnknown, contents("v", "v"), workload.Violations{WritesDoubled: 1}},
		"stored by nobody":         {workload.FateAcked, contents("v", "alien"), workload.Violations{WrongAnswers: 1}},
		"fresh read":               {workload.FateAcked, read([]string{"v"}, []string{"v"}, 0), workload.Violations{}},
		"own write missing":        {workload.FateAcked, read(nil, []string{"v"}, time.Hour), workload.Violations{RYWViolations: 1}},
		"older than the bound":     {workload.FateAcked, read(nil, nil, 5*time.Second), workload.Violations{StalenessViolations: 1}},
		"stale within the bound":   {workload.FateAcked, read(nil, nil, 20*time.Second), workload.Violations{}},
		"another one's answer":     {workload.FateAcked, read([]string{"v", "alien"}, nil, 0), workload.Violations{WrongAnswers: 1}},
		"a row twice in an answer": {workload.FateAcked, read([]string{"v", "v"}, nil, 0), workload.Violations{WrongAnswers: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := workload.NewChecker()
			c.Try(service, subject, "v")
			c.Settle("v", tc.fate, start)
			tc.then(c)
			got, _ := c.Results()
			require.Equal(t, tc.want, got)
			require.Equal(t, tc.want != workload.Violations{}, got.Any())
		})
	}
}

func TestSpecsAreComplete(t *testing.T) {
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
