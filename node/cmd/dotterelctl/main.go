// Command dotterelctl is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/version"
)

func main() {
	cmd := &cli.Command{
		Name:           "dotterelctl",
		Usage:          "operate, demonstrate and measure dotterelswitch",
		Version:        version.Text,
		Commands:       []*cli.Command{demoCommand(), explainCommand(), measureCommand(), checkCommand(), showCommand(), standinCommand(), loadCommand(), applyCommand(), execCommand(), keyCommand(), credentialCommand(), soakCommand(), fleetCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		CommandNotFound: func(_ context.Context, c *cli.Command, name string) {
			fmt.Fprintf(os.Stderr, "dotterelctl: there is no command %q\n", name)
			os.Exit(exit.Usage)
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelctl:", err)
		os.Exit(exit.Status(err))
	}
}
