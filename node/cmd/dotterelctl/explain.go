package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the hosts' logs why a request ended as it did",
		ArgsUsage: "REQUEST LOG... | --all LOG...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "count all failed requests by their cause instead"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("all") {
				return runSummary(c.Args().Slice())
			}
			if c.Args().Len() < 2 {
				return &exit.UsageError{Text: "explain takes the id of a request and one log or more"}
			}
			return runExplain(c.Args().First(), c.Args().Tail())
		},
	}
}

// maxLogLine is the longest line of a log that is read.
const maxLogLine = 1 << 20

func runExplain(request string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	story, found := explain.Tell(lines, request)
	if !found {
		return fmt.Errorf("no line names the request %s; it may have been left out (see left_out), or never have reached a host", request)
	}
	for _, l := range story.Lines {
		fmt.Println(l.Text)
	}
	fmt.Println()
	fmt.Println(story.Verdict)
	return nil
}

// runSummary counts the failed requests of all logs by cause.
func runSummary(files []string) error {
	if len(files) == 0 {
		return &exit.UsageError{Text: "explain --all takes one log or more"}
	}
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows := []string{"FAILED\tCODE\tCAUSE\tEXAMPLE"}
	for _, g := range explain.Summarize(lines) {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s", g.Count, g.Code, g.Cause, g.Example))
	}
	if _, err := fmt.Fprintln(w, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return w.Flush()
}

func readLogs(files []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range files {
		read, err := readLog(name, explain.Parse)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLog reads the lines of a log that can be parsed.
func readLog[L any](name string, parse func(string) (L, bool)) ([]L, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []L
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parse(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}
