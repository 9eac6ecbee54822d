package harness

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// StartTimeout bounds the wait for hosts that start, and AnswerTimeout that for an answer.
const (
	StartTimeout  = 30 * time.Second
	AnswerTimeout = 5 * time.Second
)

// Main runs a case with a record at the path of the first argument. TROUBLE=0 in the
// environment leaves the disruption out. The case returns an exit status.
func Main(run func(record *Record, trouble bool) (int, error)) {
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	status, err := run(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(status)
}
