// Command dotterelswitch runs an entry host of the database proxy.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/host"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/node/version"
)

func main() {
	var s settings.Settings
	cmd := &cli.Command{
		Name:     "dotterelswitch",
		Usage:    "run one entry host of the database proxy",
		Version:  version.Text,
		Flags:    settings.Flags(&s),
		Commands: []*cli.Command{platformCommand()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return &exit.UsageError{Text: "unexpected argument " + c.Args().First()}
			}
			return run(ctx, s)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelswitch:", err)
		os.Exit(exit.Status(err))
	}
}

// errDrainTimeout reports a shutdown that closed sessions with running requests.
var errDrainTimeout = errors.New("drain timeout exceeded; remaining caller sessions were closed")

func run(ctx context.Context, s settings.Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	h, err := host.Start(host.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-h.GatewayDone():
		return err
	}
	drain, cancel := context.WithTimeout(context.Background(), s.DrainTimeout)
	defer cancel()
	if !h.Stop(drain) {
		return errDrainTimeout
	}
	return nil
}
