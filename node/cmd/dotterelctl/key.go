package main

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "print a fresh idempotency key",
		Action: func(context.Context, *cli.Command) error {
			key, err := uuid.NewV7()
			if err != nil {
				return err
			}
			fmt.Println(key)
			return nil
		},
	}
}
