// Package upstream speaks to the members of database groups: pooled
// connections that carry callers' messages unchanged, and control connections
// for the group functions.
package upstream

import (
	"context"
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgconn"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Target names a member and how to log in to it.
type Target struct {
	Service string
	Member  string
	Address string
	User    string
	// Password may be empty. It is never logged.
	Password string
	// Application is reported as application_name. It begins with the host's
	// ID, so that a member can end all connections of a dead host.
	Application string
	Dial        DialFunc
}

// connect logs in to the member.
func (t Target) connect(ctx context.Context) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", t.Address, t.Service))
	if err != nil {
		return nil, &DialError{Member: t.Member, Err: err}
	}
	cfg.User, cfg.Password = t.User, t.Password
	cfg.RuntimeParams["application_name"] = t.Application
	if t.Dial != nil {
		cfg.DialFunc = pgconn.DialFunc(t.Dial)
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, &DialError{Member: t.Member, Err: err}
	}
	return conn, nil
}
