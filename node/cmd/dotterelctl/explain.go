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
		Usage:     "explain the result of a request from the hosts' logs",
		ArgsUsage: "REQUEST LOG... | --all LOG...",
		Flags:     []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "count all failed requests by their cause instead"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("all") {
				return runSummary(c.Args().Slice())
			}
			if c.Args().Len() < 2 {
				return &exit.UsageError{Text: "explain takes a request id and at least one log file"}
			}
			return runExplain(c.Args().First(), c.Args().Tail())
		},
	}
}

// maxLogLine is the size limit of a log line, in bytes.
const maxLogLine = 1 << 20

func runExplain(request string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	explanation, found := explain.ExplainRequest(lines, request)
	if !found {
		return fmt.Errorf("no log line names the request %s; its line may have been suppressed (see left_out), or the request never reached a host", request)
	}
	for _, l := range explanation.Lines {
		fmt.Println(l.Text)
	}
	fmt.Println()
	fmt.Println(explanation.Conclusion)
	return nil
}

// runSummary counts the failed requests of all logs by cause.
func runSummary(files []string) error {
	if len(files) == 0 {
		return &exit.UsageError{Text: "explain --all takes at least one log file"}
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

// readLog reads a log and returns the lines that parse accepts.
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
