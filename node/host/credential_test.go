package host_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/catalog"
	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/confstore"
	"github.com/dotterelswitch/dotterelswitch/node/consul"
)

// connectWith opens a session as a team with an API key as password.
func (d *deployment) connectWith(team, key string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, key, d.addrs[0], testService))
	require.NoError(d.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

// submitTeams submits teams and waits until they are active on all hosts.
func (d *deployment) submitTeams(id string, teams ...conf.Team) {
	d.t.Helper()
	store := confstore.New(consul.NewClient(d.env.Platform.Addr(), (&net.Dialer{}).DialContext))
	ch, err := store.Submit(d.t.Context(), id, func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: teams}, conf.Names{}, nil
	})
	require.NoError(d.t, err)
	for _, h := range d.hosts {
		require.Eventually(d.t, func() bool { return h.ConfigVersion() >= ch.Version }, testTimeout, time.Millisecond)
	}
}

// TestTeamAuthenticatesWithKey guards against serving a team with keys on a
// missing key or on another team's, and against sessions that outlive the
// revocation of their key.
func TestTeamAuthenticatesWithKey(t *testing.T) {
	d := deploy(t, 2, nil)
	defer d.kill()
	digest := func(key string) []string { return []string{catalog.NewCredential(key).String()} }
	d.submitTeams("keys", conf.Team{Name: "schools", Credentials: digest("s-key")}, conf.Team{Name: "clubs", Credentials: digest("c-key")})
	for _, login := range [][2]string{{"schools", "c-key"}, {"schools", ""}, {"colleges", "s-key"}} {
		_, err := d.connectWith(login[0], login[1])
		requireSQLState(t, err, "28P01")
		require.NotContains(t, err.Error(), "c-key")
	}
	conn, err := d.connectWith("schools", "s-key")
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(t.Context(), insertReading, "keyed", "x")
	require.NoError(t, err)

	d.submitTeams("revoke-key", conf.Team{Name: "schools", Credentials: digest("next-key")})
	_, err = conn.Exec(t.Context(), insertReading, "keyed", "y")
	require.Error(t, err)
	reconnected, err := d.connectWith("schools", "next-key")
	require.NoError(t, err)
	defer func() { _ = reconnected.Close(context.Background()) }()
	require.Equal(t, []string{"x"}, values(t, reconnected, "keyed"), "nothing ran on the revoked key")
}
