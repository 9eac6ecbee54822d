// Package settings defines and validates a host's settings, which are given by
// flags and environment variables.
package settings

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// Settings are the settings of one host. The usage texts in Flags describe them.
type Settings struct {
	ID      string
	Zone    string
	Listen  string
	Peer    string
	Metrics string
	// Platform is the address of the platform's key-value service.
	Platform string
	// PeerKey is the secret that hosts and operators share. It is never logged.
	PeerKey string
	// UpstreamUser and UpstreamPassword are the credentials for upstreams.
	UpstreamUser     string
	UpstreamPassword string

	MaxMessage         int
	MaxAnswer          int
	MaxConnections     int
	MaxTeamConnections int
	MaxTeamsShown      int
	Workers            int
	StartupTimeout     time.Duration
	StatementTimeout   time.Duration
	DrainTimeout       time.Duration
	LogLevel           string
	// Profile enables pprof at the metrics address.
	Profile bool
}

// InvalidError reports a setting with an invalid value.
type InvalidError struct {
	Name    string
	Value   string
	Allowed string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("setting --%s (%s) is %q; allowed is %s", e.Name, EnvName(e.Name), e.Value, e.Allowed)
}

// EnvName returns the name of a flag's environment variable.
func EnvName(flag string) string {
	return "DOTTERELSWITCH_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Check returns an *InvalidError for the first invalid setting.
func (s *Settings) Check() error {
	checks := []error{
		checkName("id", s.ID), checkName("zone", s.Zone),
		checkAddress("listen", s.Listen), checkAddress("peer", s.Peer),
		checkAddress("metrics", s.Metrics), checkAddress("platform", s.Platform),
		checkRange("max-message", s.MaxMessage, 1024, 1<<30),
		checkRange("max-answer", s.MaxAnswer, 1024, 1<<30),
		checkRange("max-connections", s.MaxConnections, 1, 1_000_000),
		checkRange("max-team-connections", s.MaxTeamConnections, 1, 1_000_000),
		checkRange("max-teams-shown", s.MaxTeamsShown, 1, 10_000),
		checkRange("workers", s.Workers, 1, 1_000_000),
		checkDuration("startup-timeout", s.StartupTimeout, 100*time.Millisecond, time.Hour),
		checkDuration("statement-timeout", s.StatementTimeout, 100*time.Millisecond, time.Hour),
		checkDuration("drain-timeout", s.DrainTimeout, 0, time.Hour),
		checkLevel(s.LogLevel),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

const maxNameLength = 24

func checkAddress(name, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || (host != "" && net.ParseIP(host) == nil) {
		return &InvalidError{Name: name, Value: value, Allowed: "an IP address and a port, as in 127.0.0.1:6432"}
	}
	return nil
}

func checkRange(name string, value, low, high int) error {
	if value < low || value > high {
		return &InvalidError{Name: name, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("%d to %d", low, high)}
	}
	return nil
}

func checkDuration(name string, value, low, high time.Duration) error {
	if value < low || value > high {
		return &InvalidError{Name: name, Value: value.String(), Allowed: fmt.Sprintf("%s to %s", low, high)}
	}
	return nil
}

func checkLevel(value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &InvalidError{Name: "log-level", Value: value, Allowed: "debug, info, warn or error"}
}

const nameAlphabet = "abcdefghijklmnopqrstuvwxyz0123456789-"

func checkName(name, value string) error {
	if value == "" || len(value) > maxNameLength || strings.Trim(value, nameAlphabet) != "" {
		return &InvalidError{Name: name, Value: value, Allowed: fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", maxNameLength)}
	}
	return nil
}
