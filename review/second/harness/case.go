package harness

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the disruption is to be made.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Run runs a case. Its arguments are the folder of the case and the path of the project's
// program. It ends the process with the status of the case.
func Run(play func(record *Record, dir, program string) (broken bool, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE-FOLDER PROGRAM")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	broken, err := play(record, dir, os.Args[2])
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	_ = os.RemoveAll(dir)
	status := Held
	switch {
	case err != nil:
		record.Add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		status = NotRun
	case broken:
		record.Add("the rule was broken")
		status = Broken
	default:
		record.Add("the rule held")
	}
	record.Close()
	os.Exit(status)
}
