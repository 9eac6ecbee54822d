package lang_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/lang"
)

const sampleProgram = `
-- the archive
ZONE regina-hall REGION sask;
SERVICE vsarchive-1
  UPSTREAM vsarchive-1-a ZONE regina-hall ADDRESS '10.0.0.1:5432' SLOTS 2 CONNECTIONS 15,
  UPSTREAM vsarchive-1-b ZONE regina-hall ADDRESS '10.0.0.2:5432' SLOTS 2 CONNECTIONS 15;
CLASS lightcurve STALENESS '5s';
TEAM schools WEIGHT 1.5 CONNECTIONS 40;
team colleges;
EVENT clear-night START '2026-12-02T17:30:00-06:00' SERVICES vsarchive-1 STALENESS lightcurve '10s';
DRAIN UPSTREAM vsarchive-1-b;
UNDRAIN HOST host-1;
DROP CLASS old;
`

func TestCompile(t *testing.T) {
	p, err := lang.Compile("archive.dsw", sampleProgram)
	require.NoError(t, err)
	cfg, err := (&conf.Config{}).Apply(conf.Change{Version: 1, Put: p.Put, Delete: p.Delete})
	require.NoError(t, err)
	require.NoError(t, cfg.Validate())
	require.Len(t, cfg.Services[0].Upstreams, 2)
	require.Equal(t, 1.5, cfg.Weight("schools"))
	require.True(t, cfg.Draining(conf.DrainUpstream, "vsarchive-1-b"))
	require.Equal(t, []conf.Drain{{Kind: conf.DrainHost, Name: "host-1"}}, p.Delete.Drains)
	require.Equal(t, []string{"old"}, p.Delete.Classes)
	start := time.Date(2026, 12, 2, 23, 30, 0, 0, time.UTC)
	bound, _ := cfg.Staleness("lightcurve", "vsarchive-1", start.Add(-time.Second))
	require.Equal(t, 5*time.Second, bound)
	bound, _ = cfg.Staleness("lightcurve", "vsarchive-1", start)
	require.Equal(t, 10*time.Second, bound)
}

func TestSyntaxErrorsReportPosition(t *testing.T) {
	for text, want := range map[string]string{
		"ZONE a REGION b":                                  "f:1:16: ",
		"\n  ZONE a REGOIN b;":                             `f:2:10: unexpected token "REGOIN" (expected "REGION" <name>); did you mean REGION?`,
		"DRIAN HOST a;":                                    "did you mean DRAIN?",
		"CLASS a STALENESS 'soon';":                        "f:1:19: 'soon' is not a duration",
		"EVENT a START 'x' SERVICES b;":                    "f:1:15: 'x' is not a time",
		"CLASS a STALENESS 'no end;":                       "f:1:19: ",
		"TEAM a WEIGHT many;":                              "f:1:15: ",
		"SERVICE a UPSTREAM b ZONE c ADDRESS 'x' SLOTS 1;": "expected \"CONNECTIONS\"",
	} {
		_, err := lang.Compile("f", text)
		var syntax *lang.SyntaxError
		require.ErrorAs(t, err, &syntax, text)
		require.Contains(t, err.Error(), want, text)
		require.Positive(t, syntax.Line)
	}
}

// FuzzCompile checks that Compile does not panic and that its error is always a
// *SyntaxError.
func FuzzCompile(f *testing.F) {
	f.Add(sampleProgram)
	f.Add("DRAIN")
	f.Add("EVENT a START '' SERVICES b STALENESS c ''")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := lang.Compile("f", text)
		if err == nil {
			return
		}
		var syntax *lang.SyntaxError
		require.ErrorAs(t, err, &syntax)
	})
}

func TestCompileTeamCredentials(t *testing.T) {
	p, err := lang.Compile("f", "TEAM schools WEIGHT 2 CREDENTIAL 'aa' CREDENTIAL 'bb'; TEAM clubs CREDENTIAL 'cc';")
	require.NoError(t, err)
	require.Equal(t, []string{"aa", "bb"}, p.Put.Teams[0].Credentials)
	require.Equal(t, []string{"cc"}, p.Put.Teams[1].Credentials)
}
