// Package fixedseed runs property tests with a fixed seed, so that every run checks
// the same cases.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

const (
	// seed is the rapid seed unless -rapid.seed is set.
	seed = "20261202"
	// checks is the number of cases per property unless -rapid.checks is set.
	checks = "300"
	// rapidDefaultChecks is the default value of -rapid.checks.
	rapidDefaultChecks = "100"
)

// Main runs the tests of a package with the fixed seed and exits. Call it from
// TestMain.
func Main(m *testing.M) {
	flag.Parse()
	// Setting these flags to a number cannot fail.
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == rapidDefaultChecks {
		_ = flag.Set("rapid.checks", checks)
	}
	os.Exit(m.Run())
}
