package harness

import (
	"io"
	"net"
	"sync"
)

// Link is one host's path to one address: a proxy on a loopback address of its own. A cut
// link resets its connections and refuses new ones.
type Link struct {
	target, address string
	// OnAnswer is called with what the target sends, before it is passed on. It may be nil.
	OnAnswer func(data []byte)
	// OnRequest is called with what is sent to the target, before it is passed on. It may be
	// nil.
	OnRequest func(data []byte)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	cut      bool
}

// NewLink starts a proxy to a target.
func NewLink(target string) (*Link, error) {
	l := &Link{target: target, address: "127.0.0.1:0", conns: map[net.Conn]bool{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.address = l.listener.Addr().String()
	return l, nil
}

func (l *Link) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Address returns the address of the proxy.
func (l *Link) Address() string { return l.address }

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(conn net.Conn) {
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(conn)
		return
	}
	if !l.track(conn, target) {
		reset(conn)
		reset(target)
		return
	}
	go l.copy(target, conn, l.OnRequest)
	l.copy(conn, target, l.OnAnswer)
}

// watched calls a function with all that is written.
type watched struct {
	net.Conn
	seen func([]byte)
}

// Write implements io.Writer.
func (w watched) Write(data []byte) (int, error) {
	w.seen(data)
	return w.Conn.Write(data)
}

func (l *Link) copy(to, from net.Conn, seen func([]byte)) {
	var out io.Writer = to
	if seen != nil {
		out = watched{to, seen}
	}
	_, _ = io.Copy(out, from)
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}

func (l *Link) track(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	for _, c := range conns {
		l.conns[c] = true
	}
	return true
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return
	}
	l.cut = true
	_ = l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
}

// Heal ends a cut.
func (l *Link) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return nil
	}
	l.cut = false
	return l.listen()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
