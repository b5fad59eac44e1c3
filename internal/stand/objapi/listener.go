package objapi

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener tracks its connections, so that open ones can be silenced.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, l: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// conn discards what is written once it is silent.
type conn struct {
	net.Conn
	l      *listener
	silent atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn. Requests on a silent connection are not seen.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
