package owner

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/upstream"
	"github.com/dotterelswitch/dotterelswitch/standin/dbgroup"
	"github.com/dotterelswitch/dotterelswitch/standin/pgproxy"
)

// poolBehindProxy returns a pool of a member behind a proxy.
func poolBehindProxy(t *testing.T) (*pool, *pgproxy.Proxy) {
	t.Helper()
	g, err := dbgroup.NewGroup("svc", []dbgroup.MemberConfig{{Name: "svc-a", Slots: 2, Connections: 10}}, nil)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	proxy, err := pgproxy.New(g.Members()[0].Addr(), 1)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	spec := conf.Upstream{Name: "svc-a", Address: proxy.Address(), Slots: 2, Connections: 10}
	target := upstream.Target{Service: "svc", Member: spec.Name, Address: spec.Address, User: "u"}
	return newPool(spec, target, nil, 1<<20, zerolog.Nop()), proxy
}

// use runs a statement on a connection of the pool and returns the connection, now idle.
func use(t *testing.T, p *pool) *upstream.Conn {
	t.Helper()
	c, refusal := p.acquireConn(t.Context())
	require.Nil(t, refusal)
	require.NoError(t, run(t, c, "SELECT value FROM readings"))
	p.releaseConn(c)
	return c
}

func run(t *testing.T, c *upstream.Conn, sql string) error {
	t.Helper()
	frames, err := (&pgproto3.Query{String: sql}).Encode(nil)
	require.NoError(t, err)
	_, err = c.Run(t.Context(), frames)
	return err
}

// arrival is longer than what a proxy sends, or closes, takes to arrive.
const arrival = 50 * time.Millisecond

// TestIdleConnectionThatTheMemberClosedIsReplaced guards against a statement on a connection
// that was closed while it was idle: the outcome of a write would be unknown.
func TestIdleConnectionThatTheMemberClosedIsReplaced(t *testing.T) {
	p, proxy := poolBehindProxy(t)
	first := use(t, p)
	require.Same(t, first, use(t, p))
	proxy.CloseConnections()
	time.Sleep(arrival)
	require.NotSame(t, first, use(t, p))
	require.Equal(t, 1, p.open)
}

// TestIdleConnectionWithLateBytesIsReplaced guards against a connection that has received an
// answer a second time, after it went back to the pool, serving another session.
func TestIdleConnectionWithLateBytesIsReplaced(t *testing.T) {
	p, proxy := poolBehindProxy(t)
	first := use(t, p)
	proxy.SetFault(pgproxy.Fault{Repeat: 1, MaxDelay: arrival / 2})
	require.Same(t, first, use(t, p))
	proxy.SetFault(pgproxy.Fault{})
	require.Eventually(t, func() bool { return !first.Clean() }, time.Minute, time.Millisecond)
	require.NotSame(t, first, use(t, p))
}

// TestCommitOnClosedConnectionIsNotSent guards against an unknown outcome of a transaction whose
// connection the member has closed before the COMMIT: it was rolled back.
func TestCommitOnClosedConnectionIsNotSent(t *testing.T) {
	p, proxy := poolBehindProxy(t)
	c, refusal := p.acquireConn(t.Context())
	require.Nil(t, refusal)
	require.NoError(t, run(t, c, "BEGIN"))
	proxy.CloseConnections()
	time.Sleep(arrival)
	require.Equal(t, outcome.TransactionLost, lostConnRefusal(run(t, c, "COMMIT"), true).Code)
}
