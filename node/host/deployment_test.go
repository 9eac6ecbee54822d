package host_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/node/demo"
	"github.com/dotterelswitch/dotterelswitch/node/host"
	"github.com/dotterelswitch/dotterelswitch/node/settings"
	"github.com/dotterelswitch/dotterelswitch/standin/loopback"
	"github.com/dotterelswitch/dotterelswitch/standin/netem"
	"github.com/dotterelswitch/dotterelswitch/standin/workload"
)

const (
	testService = "vsarchive-1"
	testTimeout = 30 * time.Second
)

// deployment is the archive workload without latencies, with some hosts.
type deployment struct {
	t     testing.TB
	env   *workload.Deployment
	hosts []*host.Host
	addrs []string
	peers []string
}

func deploy(t testing.TB, hosts int, change func(s *settings.Settings)) *deployment {
	t.Helper()
	return deployItems(t, hosts, change, nil)
}

// deployItems also changes the configuration before the hosts start.
func deployItems(t testing.TB, hosts int, change func(s *settings.Settings), changeItems func(i *conf.Items)) *deployment {
	t.Helper()
	spec, err := workload.Get("archive")
	require.NoError(t, err)
	spec.Latency, spec.Services, spec.Member.ConnectCost = netem.Latency{}, 1, 0
	env, err := workload.Deploy(spec)
	require.NoError(t, err)
	t.Cleanup(env.Close)
	items := env.Items()
	if changeItems != nil {
		changeItems(&items)
	}
	require.NoError(t, demo.Publish(t.Context(), env.Platform.Addr(), items))
	d := &deployment{t: t, env: env}
	for i := range hosts {
		s := settings.Default()
		s.ID, s.Zone, s.Platform, s.PeerKey = fmt.Sprintf("host-%d", i), spec.Zone(i), env.Platform.Addr(), "test"
		for _, address := range []*string{&s.Listen, &s.Peer, &s.Metrics} {
			*address, err = loopback.FreeAddress()
			require.NoError(t, err)
		}
		if change != nil {
			change(&s)
		}
		h, err := host.Start(host.Options{Settings: s, Log: zerolog.Nop()})
		require.NoError(t, err)
		d.hosts, d.addrs, d.peers = append(d.hosts, h), append(d.addrs, s.Listen), append(d.peers, s.Peer)
	}
	d.awaitReady()
	return d
}

func (d *deployment) awaitReady() {
	require.Eventually(d.t, func() bool {
		owned := 0
		for _, h := range d.hosts {
			if !h.Ready() || h.KnownHosts() != len(d.hosts) {
				return false
			}
			owned += len(h.Owned())
		}
		return owned == len(d.env.Spec.Zones)
	}, testTimeout, 10*time.Millisecond)
}

func (d *deployment) kill() {
	for _, h := range d.hosts {
		h.Kill()
	}
}

// connect opens a session on host i with start-up parameters.
func (d *deployment) connect(i int, params map[string]string) *pgx.Conn {
	d.t.Helper()
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://schools@%s/%s?sslmode=disable", d.addrs[i], testService))
	require.NoError(d.t, err)
	for k, v := range params {
		cfg.RuntimeParams[k] = v
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func values(t *testing.T, conn *pgx.Conn, subject string) []string {
	t.Helper()
	rows, err := conn.Query(t.Context(), "SELECT value FROM readings WHERE subject = $1", subject)
	require.NoError(t, err)
	got, err := pgx.CollectRows(rows, pgx.RowTo[string])
	require.NoError(t, err)
	return got
}

// requireSQLState checks the SQLSTATE of an error.
func requireSQLState(t *testing.T, err error, code string) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr)
	require.Equal(t, code, pgErr.Code, pgErr.Message)
}
