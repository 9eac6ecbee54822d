package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/shutdown"
	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/noplog"
)

// Config holds the limits of a gateway.
type Config struct {
	// Address is the listen address for callers, as host:port.
	Address string
	// MaxSessions bounds the concurrent sessions of this host.
	MaxSessions int
	// Workers bounds the statements that run concurrently.
	Workers int
	Log     zerolog.Logger
	// LogBudget limits the rate of log lines caused by callers.
	LogBudget *eventlog.RateLimiter
}

// Gateway accepts callers. It is safe for concurrent use.
type Gateway struct {
	gnet.BuiltinEventEngine
	cfg       Config
	proto     Protocol
	backend   Backend
	observer  Observer
	workers   *ants.Pool
	engine    gnet.Engine
	listening chan struct{}
	// stop is the plan of the host's stop; nil while it is not told to stop.
	stop atomic.Pointer[shutdown.Plan]

	// mu guards sessions.
	mu       sync.Mutex
	sessions map[*caller]struct{}
}

// New returns a gateway; Run starts it.
func New(cfg Config, p Protocol, b Backend, o Observer) (*Gateway, error) {
	workers, err := ants.NewPool(cfg.Workers)
	if err != nil {
		return nil, err
	}
	return &Gateway{
		cfg: cfg, proto: p, backend: b, observer: o, workers: workers,
		listening: make(chan struct{}), sessions: make(map[*caller]struct{}),
	}, nil
}

// Run serves callers until Stop.
func (g *Gateway) Run() error {
	return gnet.Run(g, "tcp://"+g.cfg.Address,
		gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(noplog.Logger{}))
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
	s := newCaller(g, c)
	c.SetContext(s)
	g.mu.Lock()
	full := len(g.sessions) >= g.cfg.MaxSessions
	if !full {
		g.sessions[s] = struct{}{}
	}
	g.mu.Unlock()
	if full {
		g.logLimited(eventlog.CallerRejected, func(l *zerolog.Event) {
			l.Str("reason", "too many sessions").Int("limit", g.cfg.MaxSessions)
		})
		return g.proto.EncodeFatal(statement.TooManyConnections, "the host has too many sessions"), gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (g *Gateway) OnClose(c gnet.Conn, _ error) gnet.Action {
	s, ok := c.Context().(*caller)
	if !ok {
		return gnet.None
	}
	g.mu.Lock()
	delete(g.sessions, s)
	g.mu.Unlock()
	s.onDisconnect()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (g *Gateway) OnTraffic(c gnet.Conn) gnet.Action {
	s := c.Context().(*caller)
	data, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	s.receive(data)
	return gnet.None
}

// remoteAddr prints the address of a caller, which a connection that is closed has no more.
type remoteAddr struct{ conn gnet.Conn }

func (r remoteAddr) String() string {
	if address := r.conn.RemoteAddr(); address != nil {
		return address.String()
	}
	return "closed"
}

// logLimited logs an event caused by a caller, within the log budget.
func (g *Gateway) logLimited(e eventlog.Event, fields func(*zerolog.Event)) {
	suppressed, ok := g.cfg.LogBudget.Allow(e, clock.Now())
	if !ok {
		return
	}
	line := e.Warn(g.cfg.Log)
	fields(line)
	line.Int("left_out", suppressed).Send()
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

func (g *Gateway) allSessions() []*caller {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*caller, 0, len(g.sessions))
	for s := range g.sessions {
		out = append(out, s)
	}
	return out
}

// drainPollInterval is how often a stopping gateway looks for sessions that are to be ended.
const drainPollInterval = 20 * time.Millisecond

// BeginStop makes sessions follow the plan of a stop. Drain ends those that wait for their
// callers.
func (g *Gateway) BeginStop(p shutdown.Plan) { g.stop.Store(&p) }

// Drain ends the sessions as the plan given to BeginStop says, until none is left or ctx is
// done. It reports whether none is left. It returns no earlier than idle sessions are
// closed, since the platform sends new callers until then.
func (g *Gateway) Drain(ctx context.Context) bool {
	p := g.stop.Load()
	for {
		remaining := g.allSessions()
		if len(remaining) == 0 && p.PhaseAt(clock.Now()) >= shutdown.Draining {
			return true
		}
		for _, s := range remaining {
			s.applyStop()
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
	return err
}

// AbortIdleTransactions rolls back the transactions that have been idle since
// before the given time.
func (g *Gateway) AbortIdleTransactions(before time.Duration) {
	for _, s := range g.allSessions() {
		s.abortTxIdleSince(before)
	}
}
