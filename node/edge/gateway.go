package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"github.com/dotterelswitch/dotterelswitch/core/statement"
	"github.com/dotterelswitch/dotterelswitch/node/clock"
	"github.com/dotterelswitch/dotterelswitch/node/eventlog"
	"github.com/dotterelswitch/dotterelswitch/node/quietlog"
)

// Config holds the limits of a gateway.
type Config struct {
	// Address is where callers connect, as host:port.
	Address string
	// MaxSessions bounds the callers of this host.
	MaxSessions int
	// Workers bounds the statements that run at once.
	Workers int
	Log     zerolog.Logger
	// Budget bounds the lines that callers cause.
	Budget *eventlog.Budget
}

// Gateway accepts callers. It is safe for concurrent use.
type Gateway struct {
	gnet.BuiltinEventEngine
	cfg      Config
	proto    Protocol
	backend  Backend
	observer Observer
	workers  *ants.Pool
	engine   gnet.Engine
	booted   chan struct{}
	// draining is set once sessions are closed as soon as they are idle.
	draining atomic.Bool

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
		booted: make(chan struct{}), sessions: make(map[*caller]struct{}),
	}, nil
}

// Run serves callers until Stop.
func (g *Gateway) Run() error {
	return gnet.Run(g, "tcp://"+g.cfg.Address,
		gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(quietlog.Logger{}))
}

// Booted is closed once the listener accepts.
func (g *Gateway) Booted() <-chan struct{} { return g.booted }

// OnBoot implements gnet.EventHandler.
func (g *Gateway) OnBoot(e gnet.Engine) gnet.Action {
	g.engine = e
	close(g.booted)
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
		g.note(eventlog.CallerRejected, func(l *zerolog.Event) {
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
	s.hangUp()
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (g *Gateway) OnTraffic(c gnet.Conn) gnet.Action {
	s := c.Context().(*caller)
	data, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if err := s.receive(data); err != nil {
		g.note(eventlog.CallerViolation, func(l *zerolog.Event) { l.Err(err).Str("remote", c.RemoteAddr().String()) })
		// The connection is closed right after; whether this arrives or not.
		_, _ = c.Write(g.proto.EncodeFatal(statement.TooLarge, err.Error()))
		return gnet.Close
	}
	return gnet.None
}

// note writes a line that a caller caused, within the budget.
func (g *Gateway) note(e eventlog.Event, fields func(*zerolog.Event)) {
	leftOut, ok := g.cfg.Budget.Allow(e, clock.Now())
	if !ok {
		return
	}
	line := e.Warn(g.cfg.Log)
	fields(line)
	line.Int("left_out", leftOut).Send()
}

// Sessions returns the number of callers.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

func (g *Gateway) all() []*caller {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*caller, 0, len(g.sessions))
	for s := range g.sessions {
		out = append(out, s)
	}
	return out
}

// drainPoll is how often a draining gateway looks for sessions to close.
const drainPoll = 20 * time.Millisecond

// Drain closes sessions as they become idle until none is left or the context
// ends. It reports whether none is left. Callers that come meanwhile are
// closed too, once what they asked is answered.
func (g *Gateway) Drain(ctx context.Context) bool {
	g.draining.Store(true)
	for {
		left := g.all()
		if len(left) == 0 {
			return true
		}
		for _, s := range left {
			s.closeIfIdle()
		}
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return false
		}
	}
}

// AbortTransactions ends the open transactions that rest between statements.
func (g *Gateway) AbortTransactions(reason string) {
	for _, s := range g.all() {
		s.abortResting(reason)
	}
}

// Stop closes the listener and all sessions.
func (g *Gateway) Stop(ctx context.Context) error {
	err := g.engine.Stop(ctx)
	g.workers.Release()
	return err
}

// EndIdle ends the transactions that have rested since before the given time.
func (g *Gateway) EndIdle(before time.Duration) {
	for _, s := range g.all() {
		s.abortIdle(before)
	}
}
