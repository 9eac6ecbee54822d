package main

import (
	"bufio"
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the hosts' logs why a request ended as it did",
		ArgsUsage: "REQUEST LOG...",
		Action: func(_ context.Context, c *cli.Command) error {
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
	var lines []explain.Line
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
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

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []explain.Line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := explain.Parse(scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}
