package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/inspect"
)

// showTimeout is the timeout of the request to one host.
const showTimeout = 5 * time.Second

func showCommand() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "show the state of a running host on the users' platform",
		ArgsUsage: "METRICS-ADDRESS...",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return &exit.UsageError{Text: "show takes the metrics address of at least one host"}
			}
			for _, address := range c.Args().Slice() {
				if err := show(ctx, address); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func show(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	s, err := inspect.Show(ctx, http.DefaultClient, address)
	if err != nil {
		return err
	}
	return inspect.WriteText(os.Stdout, s)
}
