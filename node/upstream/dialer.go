// Package upstream connects to the members of database groups: pooled connections
// carry callers' messages unchanged, control connections call the group
// functions.
package upstream

import (
	"context"
	"fmt"
	"net"

	"github.com/jackc/pgx/v5/pgconn"
)

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Target is the address of a member and the credentials for it.
type Target struct {
	Service string
	Member  string
	Address string
	User    string
	// Password may be empty. It is never logged.
	Password string
	// Application is sent as application_name. It begins with the host's ID, so
	// that a member can terminate all connections of a dead host.
	Application string
	Dial        DialFunc
}

// connect opens a connection and authenticates.
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
