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

// connectWith opens a session of a team with a key as its password.
func (d *deployment) connectWith(team, key string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, key, d.addrs[0], testService))
	require.NoError(d.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

// declare puts teams in force on all hosts.
func (d *deployment) declare(id string, teams ...conf.Team) {
	d.t.Helper()
	store := confstore.New(consul.NewClient(d.dep.Platform.Addr(), (&net.Dialer{}).DialContext))
	ch, err := store.Submit(d.t.Context(), id, func(*conf.Config) (conf.Items, conf.Names, error) {
		return conf.Items{Teams: teams}, conf.Names{}, nil
	})
	require.NoError(d.t, err)
	for _, h := range d.hosts {
		require.Eventually(d.t, func() bool { return h.ConfigVersion() >= ch.Version }, testTimeout, time.Millisecond)
	}
}

// TestTeamsProveThemselvesWithAKey: where a team has keys, nobody is served without
// one, a team is not served on another's, and a key that was taken away ends the
// sessions that it has opened at their next statement.
func TestTeamsProveThemselvesWithAKey(t *testing.T) {
	d := deploy(t, 2, nil)
	defer d.kill()
	digest := func(key string) []string { return []string{catalog.NewCredential(key).String()} }
	d.declare("keys", conf.Team{Name: "schools", Credentials: digest("s-key")}, conf.Team{Name: "clubs", Credentials: digest("c-key")})
	for _, wrong := range [][2]string{{"schools", "c-key"}, {"schools", ""}, {"colleges", "s-key"}} {
		_, err := d.connectWith(wrong[0], wrong[1])
		requireState(t, err, "28P01")
		require.NotContains(t, err.Error(), "c-key")
	}
	conn, err := d.connectWith("schools", "s-key")
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	_, err = conn.Exec(t.Context(), insertReading, "keyed", "x")
	require.NoError(t, err)

	d.declare("taken away", conf.Team{Name: "schools", Credentials: digest("next-key")})
	_, err = conn.Exec(t.Context(), insertReading, "keyed", "y")
	require.Error(t, err)
	again, err := d.connectWith("schools", "next-key")
	require.NoError(t, err)
	defer func() { _ = again.Close(context.Background()) }()
	require.Equal(t, []string{"x"}, values(t, again, "keyed"), "nothing ran on the key that was taken away")
}
