package settings

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

// Flags returns the flags that fill s. Each has an environment variable.
func Flags(s *Settings) []cli.Flag {
	return []cli.Flag{
		text("id", "name of this host, unique in the fleet", "", &s.ID),
		text("zone", "availability zone of this host", "", &s.Zone),
		text("listen", "address for callers", "127.0.0.1:6432", &s.Listen),
		text("peer", "address for calls between hosts and by operators", "127.0.0.1:6433", &s.Peer),
		text("metrics", "address for metrics over HTTP", "127.0.0.1:6434", &s.Metrics),
		text("platform", "address of the platform's key-value service", "127.0.0.1:8500", &s.Platform),
		text("peer-key", "secret that hosts and operators share", "", &s.PeerKey),
		text("upstream-user", "user name at upstreams", "dotterelswitch", &s.UpstreamUser),
		text("upstream-password", "password at upstreams", "", &s.UpstreamPassword),
		number("max-message", "largest message from a caller, in bytes", 16<<20, &s.MaxMessage),
		number("max-answer", "largest answer of an upstream, in bytes; each answer is held in memory", 64<<20, &s.MaxAnswer),
		number("max-connections", "callers at once", 10_000, &s.MaxConnections),
		number("max-team-connections", "callers of one team at once", 5_000, &s.MaxTeamConnections),
		number("max-teams-shown", "teams with metrics of their own; the rest share one label", 100, &s.MaxTeamsShown),
		number("workers", "requests that run at once; each costs a goroutine", 4096, &s.Workers),
		duration("startup-timeout", "time a caller has to log in", 10*time.Second, &s.StartupTimeout),
		duration("statement-timeout", "deadline of a request; callers may set a shorter one", 10*time.Second, &s.StatementTimeout),
		duration("drain-timeout", "time that a stop waits for what runs", 30*time.Second, &s.DrainTimeout),
		&cli.BoolFlag{Name: "profile", Usage: "serve runtime profiles under /debug/pprof/ at the metrics address", Destination: &s.Profile, Sources: cli.EnvVars(EnvName("profile"))},
		text("log-level", "debug, info, warn or error", "info", &s.LogLevel),
	}
}

func text(name, usage, value string, target *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func number(name, usage string, value int, target *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func duration(name, usage string, value time.Duration, target *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

// Default returns the settings that hold where no flag or variable is given.
func Default() Settings {
	var s Settings
	cmd := &cli.Command{Flags: Flags(&s), Action: func(context.Context, *cli.Command) error { return nil }}
	// An empty command line is always valid.
	_ = cmd.Run(context.Background(), []string{"defaults"})
	return s
}
