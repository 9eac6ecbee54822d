package replicaset

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/connpool"
	"github.com/dotterelswitch/dotterelswitch/core/directory"
	"github.com/dotterelswitch/dotterelswitch/core/gates"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
)

// TestLateWaiterTakesIdleConnectionOfAnotherTeam guards against a statement that is
// refused beside an idle connection: its team's only connection is in a transaction, the
// other one belongs to a team with more requests, and nothing else happens in the pool.
func TestLateWaiterTakesIdleConnectionOfAnotherTeam(t *testing.T) {
	dialed := make(chan struct{}, 1)
	s := New(Config{Service: "svc", Host: "h0", Log: zerolog.Nop(), Dial: func(context.Context, string, string) (net.Conn, error) {
		select {
		case dialed <- struct{}{}:
		default:
		}
		return nil, errors.New("no connection in this test")
	}})
	m := newMember(s, directory.Member{Entry: directory.Entry{ID: "m", Service: "svc"}}, gates.Share{Limits: connpool.Limits{MaxOpen: 2, MaxWaiting: 4}})
	now := clock.Now()
	for id, team := range []string{"a", "b"} {
		m.pool.Acquire(connpool.Waiter{ID: uint64(id + 1), Team: team, OnTimeUntil: now + time.Minute, StartDeadline: now + time.Minute}, now)
		m.pool.BeginOpen(now)
		m.pool.Opened(connpool.Conn{ID: connpool.ConnID(id + 1), Team: team}, now)
	}
	for range 10 {
		m.pool.Released(connpool.Conn{ID: 2, Team: "b"}, time.Millisecond, now)
		m.pool.Acquire(connpool.Waiter{ID: 3, Team: "b"}, now)
	}
	m.pool.Released(connpool.Conn{ID: 2, Team: "b"}, time.Millisecond, now)
	client, server := net.Pipe()
	defer server.Close()
	m.conns[2], m.nextID = &Conn{id: 2, member: m, team: "b", netConn: client, broken: true}, 10
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, _ = m.acquire(ctx, connpool.Waiter{Team: "a", TargetDeadline: now + 100*time.Millisecond, OnTimeUntil: now + 50*time.Millisecond, StartDeadline: now + time.Minute})
	}()
	select {
	case <-dialed:
	case <-time.After(3 * time.Second):
		t.Fatal("no connection is opened for the late statement")
	}
}
