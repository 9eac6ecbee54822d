package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a boot file of the users' platform",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return &exit.UsageError{Text: "check takes one boot file"}
			}
			boot, err := platform.ReadBoot(c.Args().First())
			if err != nil {
				return &exit.UsageError{Text: err.Error()}
			}
			fmt.Printf("host %s in zone %s: callers at %s, store at %s, promotions at %s\n",
				boot.Host, boot.Zone, boot.CallerAddress, boot.StoreAddress, boot.PromotionAddress)
			return nil
		},
	}
}
