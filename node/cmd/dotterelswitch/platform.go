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

	"github.com/dotterelswitch/dotterelswitch/core/feature"
	"github.com/dotterelswitch/dotterelswitch/node/entry"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/onplatform"
	"github.com/dotterelswitch/dotterelswitch/node/replicaset"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/platform"
)

// platformSettings are the flags of the platform command. All other settings come
// from the boot file.
type platformSettings struct {
	boot        string
	metricsPort int
	workers     int
	logLevel    string
	callTimeout time.Duration
	// disabledFeatures are the names given with --without.
	disabledFeatures []string
}

func platformCommand() *cli.Command {
	var s platformSettings
	return &cli.Command{
		Name:  "platform",
		Usage: "run one entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "boot", Usage: "path of the boot file", Destination: &s.boot, Sources: cli.EnvVars(platform.BootEnvVar)},
			&cli.IntFlag{Name: "metrics-port", Usage: "port for metrics over HTTP; 0 for none", Value: 9464, Destination: &s.metricsPort, Sources: cli.EnvVars(settings.EnvName("metrics-port"))},
			&cli.IntFlag{Name: "workers", Usage: "limit of concurrent statements; each uses a goroutine", Value: 4096, Destination: &s.workers, Sources: cli.EnvVars(settings.EnvName("workers"))},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Destination: &s.logLevel, Sources: cli.EnvVars(settings.EnvName("log-level"))},
			&cli.DurationFlag{Name: "platform-timeout", Usage: "timeout of one call to the platform", Value: 1500 * time.Millisecond, Destination: &s.callTimeout, Sources: cli.EnvVars(settings.EnvName("platform-timeout"))},
			&cli.StringSliceFlag{Name: "without", Usage: "disable a feature to measure its benefit; may be repeated", Sources: cli.EnvVars(settings.EnvName("without"))},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return &exit.UsageError{Text: "unexpected argument " + c.Args().First()}
			}
			s.disabledFeatures = c.StringSlice("without")
			return runOnPlatform(s)
		},
	}
}

func (s platformSettings) check() error {
	switch {
	case s.boot == "":
		return &exit.UsageError{Text: "no boot file given: set --boot or " + platform.BootEnvVar}
	case s.workers < 1:
		return &exit.UsageError{Text: "--workers must be at least 1"}
	case s.metricsPort < 0 || s.metricsPort > 65535:
		return &exit.UsageError{Text: "--metrics-port must be 0 to 65535"}
	case s.callTimeout <= 0:
		return &exit.UsageError{Text: "--platform-timeout must be positive"}
	}
	return nil
}

// logTimeFormat has milliseconds, so that the lines of several hosts can be merged in
// order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// reservedDescriptors is the number of file descriptors kept for files and for
// connections other than callers'.
const reservedDescriptors = 600

// minMaxSessions is the lower limit of MaxSessions on a host with few file
// descriptors.
const minMaxSessions = 100

func runOnPlatform(s platformSettings) error {
	if err := s.check(); err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.logLevel)
	if err != nil {
		return &exit.UsageError{Text: "--log-level: " + err.Error()}
	}
	features, err := feature.Parse(s.disabledFeatures)
	if err != nil {
		return &exit.UsageError{Text: "--without: " + err.Error()}
	}
	zerolog.TimeFieldFormat = logTimeFormat
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	boot, err := platform.ReadBoot(s.boot)
	if err != nil {
		return &exit.UsageError{Text: err.Error()}
	}
	configureGC(boot.MemoryMB)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	h, err := entry.Start(entrySettings(s, boot, features), newAdapter(s, boot), entry.Dial, log)
	if err != nil {
		return err
	}
	w := &bootWatcher{path: s.boot, log: log}
	go w.run()
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				w.reload("signal")
				continue
			}
			if !h.Stop() {
				return errDrainTimeout
			}
			return nil
		case err := <-h.Failed():
			return err
		}
	}
}

func newAdapter(s platformSettings, boot platform.Boot) entry.Adapter {
	return onplatform.NewAdapter(onplatform.Options{
		Host: boot.Host, StoreAddress: boot.StoreAddress, PromotionAddress: boot.PromotionAddress,
		Timeout: s.callTimeout, RequireTeams: boot.RequireTeams,
	})
}

func entrySettings(s platformSettings, boot platform.Boot, features feature.Set) entry.Settings {
	out := entry.Settings{
		Host: boot.Host, Topology: replicaset.Topology{Zone: boot.Zone, Regions: boot.Regions},
		CallerAddress: boot.CallerAddress, ReadinessAddress: boot.ReadyAddress,
		MaxSessions: max(boot.MaxFileDescriptors-reservedDescriptors, minMaxSessions), Workers: s.workers,
		MilliCores: boot.MilliCores, LinkMbps: boot.LinkMbps,
		GracePeriod: boot.GracePeriod, DrainTimeout: boot.DrainTimeout, MaxConfigApplyTime: boot.MaxConfigApplyTime, QuotaTolerance: boot.QuotaTolerance,
		PeerAddress: net.JoinHostPort(boot.IP, strconv.Itoa(boot.PeerPort)), Features: features,
	}
	if s.metricsPort > 0 {
		out.MetricsAddress = net.JoinHostPort(boot.IP, strconv.Itoa(s.metricsPort))
	}
	return out
}
