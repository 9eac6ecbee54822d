package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/lang"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/peer"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
)

// changeFlags returns the flags of the commands that change the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Value: "127.0.0.1:8500", Usage: "address of the platform's key-value service", Sources: cli.EnvVars(settings.EnvName("platform"))},
		&cli.StringFlag{Name: "change-id", Usage: "id of this change; submitting the same id again is safe (default: a new UUID)"},
		&cli.StringSliceFlag{Name: "host", Usage: "peer address of a host to send the change to directly, in case the platform is unavailable; may be given several times"},
		&cli.StringFlag{Name: "peer-key", Usage: "secret that hosts and operators share", Sources: cli.EnvVars(settings.EnvName("peer-key"))},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the changes without submitting them"},
		outputFlag(),
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:   "apply",
		Usage:  "apply the declarations in files to the configuration as one atomic change",
		Flags:  append([]cli.Flag{&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "file with declarations; may be given several times", Required: true}}, changeFlags()...),
		Action: runApply,
	}
}

func execCommand() *cli.Command {
	return &cli.Command{
		Name:      "exec",
		Usage:     "apply the declarations given as arguments",
		ArgsUsage: "STATEMENT…",
		Flags:     changeFlags(),
		Action:    runExec,
	}
}

func runApply(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return &exit.UsageError{Text: "unexpected argument " + c.Args().First()}
	}
	program := &lang.Program{}
	for _, file := range c.StringSlice("file") {
		text, err := os.ReadFile(file)
		if err != nil {
			return &exit.UsageError{Text: err.Error()}
		}
		part, err := lang.Compile(file, string(text))
		if err != nil {
			return &exit.UsageError{Text: err.Error()}
		}
		program.Append(part)
	}
	return applyProgram(ctx, c, program)
}

func runExec(ctx context.Context, c *cli.Command) error {
	text := strings.Join(c.Args().Slice(), " ")
	if !strings.HasSuffix(strings.TrimSpace(text), ";") {
		text += ";"
	}
	program, err := lang.Compile("", text)
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	return applyProgram(ctx, c, program)
}

// changeReport is the output of a command that changes the configuration.
type changeReport struct {
	Version  uint64            `json:"version"`
	ChangeID string            `json:"change_id"`
	DryRun   bool              `json:"dry_run"`
	Changes  []conf.Difference `json:"changes"`
}

// applyProgram submits a program as a change of the current configuration, or only
// validates it in a dry run.
func applyProgram(ctx context.Context, c *cli.Command, p *lang.Program) error {
	if err := errors.Join(checkOutput(c.String("output")), checkAddresses("platform", []string{c.String("platform")}), checkAddresses("host", c.StringSlice("host"))); err != nil {
		return err
	}
	store := confstore.New(consul.NewClient(c.String("platform"), (&net.Dialer{}).DialContext))
	cfg, _, err := store.Load(ctx)
	if err != nil {
		return err
	}
	report := changeReport{Version: cfg.Version, ChangeID: c.String("change-id"), DryRun: c.Bool("dry-run"), Changes: cfg.Diff(p.Put, p.Delete)}
	if report.ChangeID == "" {
		report.ChangeID = uuid.NewString()
	}
	if report.DryRun {
		err = validateChange(cfg, p)
	} else {
		report.Version, err = submit(ctx, c, store, report.ChangeID, p)
	}
	var invalid *conf.InvalidError
	if errors.As(err, &invalid) {
		return &exit.UsageError{Text: err.Error()}
	}
	if err != nil {
		return err
	}
	return printOutcome(c.String("output"), report)
}

// submit commits a program to the store and offers the change to the hosts in the
// --host flags. It returns the new version.
func submit(ctx context.Context, c *cli.Command, store *confstore.Store, id string, p *lang.Program) (uint64, error) {
	ch, err := store.Submit(ctx, id, func(*conf.Config) (conf.Items, conf.Names, error) {
		return p.Put, p.Delete, nil
	})
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(ch)
	if err != nil {
		return 0, err
	}
	peers := peer.NewClient((&net.Dialer{}).DialContext, c.String("peer-key"))
	for _, address := range c.StringSlice("host") {
		// The change is committed either way; a host that is not reached receives
		// it from the platform or its peers.
		if _, err := peers.OfferChange(ctx, address, data); err != nil {
			fmt.Fprintln(os.Stderr, "dotterelctl: the change is accepted, but a host could not be notified:", err)
		}
	}
	return ch.Version, nil
}

// validateChange validates the configuration that would result from the program.
func validateChange(cfg *conf.Config, p *lang.Program) error {
	after, err := cfg.Apply(conf.Change{Version: cfg.Version + 1, Put: p.Put, Delete: p.Delete})
	if err != nil {
		return err
	}
	return after.Validate()
}

func printOutcome(output string, r changeReport) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	for _, d := range r.Changes {
		fmt.Printf("%-10s %-8s %s\n", d.Effect, d.Kind, d.Name)
	}
	if r.DryRun {
		fmt.Printf("nothing was changed; the configuration is at version %d\n", r.Version)
	} else {
		fmt.Printf("accepted as version %d, change %s\n", r.Version, r.ChangeID)
	}
	return nil
}
