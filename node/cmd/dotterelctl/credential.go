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

// credentialCommand prints what declarations hold of a key. The key comes on
// standard input, as arguments are seen by other users of the machine.
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
				return &exit.UsageError{Text: "there is no key on standard input"}
			}
			fmt.Println(catalog.NewCredential(key))
			return nil
		},
	}
}
