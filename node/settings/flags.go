package settings

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

// Flags returns the flags that set the fields of s. Each flag can also be set by its
// environment variable.
func Flags(s *Settings) []cli.Flag {
	return []cli.Flag{
		stringFlag("id", "name of this host, unique in the fleet", "", &s.ID),
		stringFlag("zone", "availability zone of this host", "", &s.Zone),
		stringFlag("listen", "address for callers", "127.0.0.1:6432", &s.Listen),
		stringFlag("peer", "address for calls between hosts and by operators", "127.0.0.1:6433", &s.Peer),
		stringFlag("metrics", "address for metrics over HTTP", "127.0.0.1:6434", &s.Metrics),
		stringFlag("platform", "address of the platform's key-value service", "127.0.0.1:8500", &s.Platform),
		stringFlag("peer-key", "secret that hosts and operators share", "", &s.PeerKey),
		stringFlag("upstream-user", "user name at upstreams", "dotterelswitch", &s.UpstreamUser),
		stringFlag("upstream-password", "password at upstreams", "", &s.UpstreamPassword),
		intFlag("max-message", "size limit of a message from a caller, in bytes", 16<<20, &s.MaxMessage),
		intFlag("max-answer", "size limit of an answer from an upstream, in bytes; each answer is buffered in memory", 64<<20, &s.MaxAnswer),
		intFlag("max-connections", "limit of concurrent caller sessions", 10_000, &s.MaxConnections),
		intFlag("max-team-connections", "limit of concurrent caller sessions per team", 5_000, &s.MaxTeamConnections),
		intFlag("max-teams-shown", "number of teams with a metrics label of their own; the others share one label", 100, &s.MaxTeamsShown),
		intFlag("workers", "limit of concurrent requests; each uses a goroutine", 4096, &s.Workers),
		durationFlag("startup-timeout", "time limit for the login of a caller", 10*time.Second, &s.StartupTimeout),
		durationFlag("statement-timeout", "deadline of a request; callers may set a shorter one", 10*time.Second, &s.StatementTimeout),
		durationFlag("drain-timeout", "how long a shutdown waits for running requests", 30*time.Second, &s.DrainTimeout),
		&cli.BoolFlag{Name: "profile", Usage: "serve runtime profiles under /debug/pprof/ at the metrics address", Destination: &s.Profile, Sources: cli.EnvVars(EnvName("profile"))},
		stringFlag("log-level", "debug, info, warn or error", "info", &s.LogLevel),
	}
}

func stringFlag(name, usage, value string, target *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func intFlag(name, usage string, value int, target *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

func durationFlag(name, usage string, value time.Duration, target *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, Destination: target, Sources: cli.EnvVars(EnvName(name))}
}

// Default returns the default values of all settings.
func Default() Settings {
	var s Settings
	cmd := &cli.Command{Flags: Flags(&s), Action: func(context.Context, *cli.Command) error { return nil }}
	// Parsing a command line without arguments cannot fail.
	_ = cmd.Run(context.Background(), []string{"defaults"})
	return s
}
