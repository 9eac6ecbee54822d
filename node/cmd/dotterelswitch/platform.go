package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/dotterelswitch/dotterelswitch/core/mechanism"
	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/onplatform"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// platformSettings are the flags of the command that runs on the platform. The
// rest comes from the boot file.
type platformSettings struct {
	boot        string
	metricsPort int
	workers     int
	logLevel    string
	callTimeout time.Duration
	// without names the mechanisms to leave out, to measure what they gain.
	without []string
}

func platformCommand() *cli.Command {
	var s platformSettings
	return &cli.Command{
		Name:  "platform",
		Usage: "run one entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "boot", Usage: "path of the boot file", Destination: &s.boot, Sources: cli.EnvVars(platform.BootVariable)},
			&cli.IntFlag{Name: "metrics-port", Usage: "port for metrics over HTTP; 0 for none", Value: 9464, Destination: &s.metricsPort, Sources: cli.EnvVars(settings.EnvName("metrics-port"))},
			&cli.IntFlag{Name: "workers", Usage: "statements that run at once; each costs a goroutine", Value: 4096, Destination: &s.workers, Sources: cli.EnvVars(settings.EnvName("workers"))},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Destination: &s.logLevel, Sources: cli.EnvVars(settings.EnvName("log-level"))},
			&cli.DurationFlag{Name: "platform-timeout", Usage: "time for one call to the platform", Value: 1500 * time.Millisecond, Destination: &s.callTimeout, Sources: cli.EnvVars(settings.EnvName("platform-timeout"))},
			&cli.StringSliceFlag{Name: "without", Usage: "leave a mechanism out, to measure what it gains; may be repeated", Sources: cli.EnvVars(settings.EnvName("without"))},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return &exit.UsageError{Text: "unexpected argument " + c.Args().First()}
			}
			s.without = c.StringSlice("without")
			return runOnPlatform(s)
		},
	}
}

// check reports settings that cannot be used.
func (s platformSettings) check() error {
	switch {
	case s.boot == "":
		return &exit.UsageError{Text: "the boot file is not named: set --boot or " + platform.BootVariable}
	case s.workers < 1:
		return &exit.UsageError{Text: "--workers must be at least 1"}
	case s.metricsPort < 0 || s.metricsPort > 65535:
		return &exit.UsageError{Text: "--metrics-port must be 0 to 65535"}
	case s.callTimeout <= 0:
		return &exit.UsageError{Text: "--platform-timeout must be positive"}
	}
	return nil
}

// logTime tells the order of lines of several hosts to the millisecond.
const logTime = "2006-01-02T15:04:05.000Z07:00"

// reservedDescriptors is what is left of a host's descriptors for files and
// its own connections.
const reservedDescriptors = 600

func runOnPlatform(s platformSettings) error {
	if err := s.check(); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.logLevel)
	if err != nil {
		return &exit.UsageError{Text: "--log-level: " + err.Error()}
	}
	without, err := mechanism.Parse(s.without)
	if err != nil {
		return &exit.UsageError{Text: "--without: " + err.Error()}
	}
	zerolog.TimeFieldFormat = logTime
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	boot, err := platform.ReadBoot(s.boot)
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	tuneCollector(boot.MemoryMB)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	h, err := entry.Start(entrySettings(s, boot, without), adapterFor(s, boot), entry.Dial, log)
	if err != nil {
		return err
	}
	w := &bootWatch{path: s.boot, log: log}
	go w.run()
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				w.reload("signal")
				continue
			}
			if !h.Stop() {
				return errForced
			}
			return nil
		case err := <-h.Failed():
			return err
		}
	}
}

func adapterFor(s platformSettings, boot platform.Boot) entry.Adapter {
	return onplatform.Adapter(onplatform.Options{
		Host: boot.Host, Store: boot.StoreAddress, Promotion: boot.PromotionAddress,
		Timeout: s.callTimeout, RequireTeams: boot.Teams,
	})
}

func entrySettings(s platformSettings, boot platform.Boot, without mechanism.Disabled) entry.Settings {
	out := entry.Settings{
		Host: boot.Host, Places: replicaset.Topology{Zone: boot.Zone, Regions: boot.Regions},
		CallerAddress: boot.CallerAddress, ReadinessAddress: boot.ReadyAddress,
		MaxSessions: max(boot.MaxDescriptors-reservedDescriptors, 100), Workers: s.workers,
		GracePeriod: boot.Grace, DrainBound: boot.DrainBound, ConfigBound: boot.ConfigBound, QuotaTolerance: boot.Quota,
		PeerAddress: net.JoinHostPort(boot.IP, strconv.Itoa(boot.PeerPort)), Disabled: without,
	}
	if s.metricsPort > 0 {
		out.MetricsAddress = net.JoinHostPort(boot.IP, strconv.Itoa(s.metricsPort))
	}
	return out
}
