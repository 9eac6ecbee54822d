package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
)

// credentialCommand prints the digest of a key for use in declarations. The key is
// read from standard input, since arguments are visible to other users.
func credentialCommand() *cli.Command {
	return &cli.Command{
		Name:  "credential",
		Usage: "read a team's key from standard input and print its digest, for TEAM … CREDENTIAL",
		Action: func(context.Context, *cli.Command) error {
			line, err := bufio.NewReader(os.Stdin).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			key := strings.TrimRight(line, "\r\n")
			if key == "" {
				return &exit.UsageError{Text: "no key on standard input"}
			}
			fmt.Println(catalog.NewCredential(key))
			return nil
		},
	}
}
