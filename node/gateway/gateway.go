// Package gateway serves callers over the PostgreSQL protocol, version 3; package
// edge serves the callers of the users' platform. It is unrelated to the gates of
// replicaset.
//
// The gnet event loops read and frame messages; a bounded worker pool runs the
// sessions with pending messages, at most one worker per session.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/conf"
	"github.com/dotterelswitch/dotterelswitch/core/outcome"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/metrics"
	"github.com/dotterelswitch/dotterelswitch/node/noplog"
	"github.com/dotterelswitch/dotterelswitch/node/router"
)

// Config holds the limits of a gateway.
type Config struct {
	// Address is the listener's host:port.
	Address string
	// MaxMessage bounds the size of a caller's message in bytes.
	MaxMessage int
	// MaxConnections bounds the connections of this host.
	MaxConnections int
	// MaxTeamConnections bounds the connections of one team on this host unless
	// the configuration sets a limit for the team.
	MaxTeamConnections int
	// StartupTimeout bounds the time from connect to the end of the login.
	StartupTimeout time.Duration
	// StatementTimeout is the default and maximum statement timeout.
	StatementTimeout time.Duration
	// Workers bounds the requests that run concurrently.
	Workers int
	Log     zerolog.Logger
}

// Gateway accepts callers. It is safe for concurrent use.
type Gateway struct {
	gnet.BuiltinEventEngine
	cfg       Config
	router    *router.Router
	config    func() *conf.Config
	metrics   *metrics.Metrics
	workers   *ants.Pool
	engine    gnet.Engine
	listening chan struct{}

	draining      atomic.Bool
	activeWorkers atomic.Int64

	// mu guards the fields below.
	mu              sync.Mutex
	sessions        map[uint32]*session
	teamConnections map[string]int
	nextPID         uint32
}

// New returns a gateway; Run starts it.
func New(cfg Config, r *router.Router, config func() *conf.Config, m *metrics.Metrics) (*Gateway, error) {
	workers, err := ants.NewPool(cfg.Workers)
	if err != nil {
		return nil, err
	}
	return &Gateway{
		cfg: cfg, router: r, config: config, metrics: m, workers: workers,
		listening: make(chan struct{}),
		sessions:  make(map[uint32]*session), teamConnections: make(map[string]int),
	}, nil
}

// Run serves callers until Stop.
func (g *Gateway) Run() error {
	return gnet.Run(g, "tcp://"+g.cfg.Address,
		gnet.WithMulticore(true), gnet.WithTicker(true), gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(noplog.Logger{}))
}

// Listening returns a channel that is closed once the gateway accepts connections.
func (g *Gateway) Listening() <-chan struct{} { return g.listening }

// OnBoot implements gnet.EventHandler.
func (g *Gateway) OnBoot(e gnet.Engine) gnet.Action {
	g.engine = e
	close(g.listening)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (g *Gateway) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s := newSession(g, c)
	if !g.add(s) {
		refusal := outcome.Refuse(outcome.TooManyConnections, "the limit of this host is %d", g.cfg.MaxConnections)
		return fatalMessage(refusal), gnet.Close
	}
	c.SetContext(s)
	return nil, gnet.None
}

// add registers a session under a new process ID and secret key, which identify it
// in cancel requests.
func (g *Gateway) add(s *session) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sessions) >= g.cfg.MaxConnections || g.draining.Load() {
		return false
	}
	g.nextPID++
	s.pid = g.nextPID
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	s.secret = binary.BigEndian.Uint32(secret[:])
	g.sessions[s.pid] = s
	return true
}

// OnClose implements gnet.EventHandler.
func (g *Gateway) OnClose(c gnet.Conn, _ error) gnet.Action {
	s, ok := c.Context().(*session)
	if !ok {
		return gnet.None
	}
	g.mu.Lock()
	delete(g.sessions, s.pid)
	if s.teamCounted {
		g.teamConnections[s.team]--
		if g.teamConnections[s.team] == 0 {
			delete(g.teamConnections, s.team)
		}
	}
	g.mu.Unlock()
	s.onDisconnect()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (g *Gateway) OnTraffic(c gnet.Conn) gnet.Action {
	s := c.Context().(*session)
	data, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if refusal := s.receive(data); refusal != nil {
		eventlog.CallerViolation.Warn(g.cfg.Log).Err(refusal).Str("remote", c.RemoteAddr().String()).Send()
		_, _ = c.Write(fatalMessage(refusal))
		return gnet.Close
	}
	return gnet.None
}

// startupCheckInterval is how often the gateway checks for logins that exceed the
// startup timeout.
const startupCheckInterval = time.Second

// OnTick implements gnet.EventHandler.
func (g *Gateway) OnTick() (time.Duration, gnet.Action) {
	g.mu.Lock()
	var slow []*session
	for _, s := range g.sessions {
		if !s.started.Load() && time.Since(s.connectedAt) > g.cfg.StartupTimeout {
			slow = append(slow, s)
		}
	}
	g.mu.Unlock()
	for _, s := range slow {
		eventlog.CallerRejected.Warn(g.cfg.Log).Str("remote", s.remote).Str("reason", "start-up timeout").Send()
		_ = s.conn.Close()
	}
	return startupCheckInterval, gnet.None
}

// reserveTeamConnection counts a session against its team's connection limit. It
// returns false if the limit is reached.
func (g *Gateway) reserveTeamConnection(s *session) bool {
	limit := g.cfg.MaxTeamConnections
	if t, found := g.config().Team(s.team); found && t.Connections > 0 {
		limit = t.Connections
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.teamConnections[s.team] >= limit {
		return false
	}
	g.teamConnections[s.team]++
	s.teamCounted = true
	return true
}

// cancel cancels the running request of the session with the given process ID and
// secret key.
func (g *Gateway) cancel(pid, secret uint32) {
	g.mu.Lock()
	s, found := g.sessions[pid]
	g.mu.Unlock()
	if found && s.secret == secret {
		s.cancelRequest()
	}
}

// Connections returns the number of open connections.
func (g *Gateway) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// drainPollInterval is how often a draining gateway checks for idle sessions.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new connections and closes sessions as they become idle, until
// none is left or ctx is done. It reports whether none is left.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.draining.Store(true)
	for {
		g.mu.Lock()
		remaining := make([]*session, 0, len(g.sessions))
		for _, s := range g.sessions {
			remaining = append(remaining, s)
		}
		g.mu.Unlock()
		if len(remaining) == 0 {
			return true
		}
		for _, s := range remaining {
			s.closeIfIdle()
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// Stop closes the listener and all connections.
func (g *Gateway) Stop(ctx context.Context) error {
	err := g.engine.Stop(ctx)
	g.workers.Release()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
