package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/node/exit"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
)

// The error for an invalid value names the flag, its environment variable and the
// allowed values, and gives the exit status for wrong usage.
func TestInvalidSettingsAreReported(t *testing.T) {
	good := settings.Default()
	good.ID, good.Zone = "host-1", "zone-a"
	require.NoError(t, good.Check())
	for name, mutate := range map[string]func(s *settings.Settings){
		"id":                   func(s *settings.Settings) { s.ID = "Host 1" },
		"zone":                 func(s *settings.Settings) { s.Zone = "" },
		"listen":               func(s *settings.Settings) { s.Listen = "localhost" },
		"peer":                 func(s *settings.Settings) { s.Peer = "name:1" },
		"metrics":              func(s *settings.Settings) { s.Metrics = ":" },
		"platform":             func(s *settings.Settings) { s.Platform = "1.2.3.4" },
		"max-message":          func(s *settings.Settings) { s.MaxMessage = 1 },
		"max-answer":           func(s *settings.Settings) { s.MaxAnswer = -1 },
		"max-connections":      func(s *settings.Settings) { s.MaxConnections = 0 },
		"max-team-connections": func(s *settings.Settings) { s.MaxTeamConnections = 0 },
		"max-teams-shown":      func(s *settings.Settings) { s.MaxTeamsShown = 0 },
		"workers":              func(s *settings.Settings) { s.Workers = 0 },
		"startup-timeout":      func(s *settings.Settings) { s.StartupTimeout = 1 },
		"statement-timeout":    func(s *settings.Settings) { s.StatementTimeout = 1 },
		"drain-timeout":        func(s *settings.Settings) { s.DrainTimeout = -1 },
		"log-level":            func(s *settings.Settings) { s.LogLevel = "loud" },
	} {
		s := good
		mutate(&s)
		err := s.Check()
		var invalid *settings.InvalidError
		require.ErrorAs(t, err, &invalid, name)
		require.Equal(t, name, invalid.Name)
		require.Contains(t, err.Error(), settings.EnvName(name))
		require.NotEmpty(t, invalid.Allowed)
		require.Equal(t, exit.Usage, exit.Status(err))
	}
}

func TestEveryFlagHasAnEnvironmentVariable(t *testing.T) {
	var s settings.Settings
	for _, f := range settings.Flags(&s) {
		require.Equal(t, "DOTTERELSWITCH_"+envSuffix(f.Names()[0]), settings.EnvName(f.Names()[0]))
	}
}

func envSuffix(flag string) string {
	out := []byte(flag)
	for i, c := range out {
		switch {
		case c == '-':
			out[i] = '_'
		case c >= 'a' && c <= 'z':
			out[i] = c - 'a' + 'A'
		}
	}
	return string(out)
}
