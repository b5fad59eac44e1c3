package netem

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkSize and chunksInFlight bound the bytes that a link holds per direction.
const (
	chunkSize      = 16 << 10
	chunksInFlight = 64
)

// conn copies between the dialing program, which holds the other end of a
// pipe, and the real connection.
type conn struct {
	net    *Network
	ends   ends
	delay  time.Duration
	inner  net.Conn // this end of the pipe
	real   net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

type chunk struct {
	data []byte
	due  time.Time
}

func (n *Network) wrap(real net.Conn, e ends, delay time.Duration) net.Conn {
	outer, inner := net.Pipe()
	c := &conn{net: n, ends: e, delay: delay, inner: inner, real: real, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	n.wg.Go(func() { c.copy(c.real, c.inner) })
	n.wg.Go(func() { c.copy(c.inner, c.real) })
	return outer
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		_ = c.inner.Close() // errors at the end of a connection carry no news
		_ = c.real.Close()
	})
}

// copy moves bytes from src to dst after the link's delay until either ends.
func (c *conn) copy(dst, src net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	c.net.wg.Go(func() { c.deliver(dst, chunks) })
	defer close(chunks)
	for {
		buf := make([]byte, chunkSize)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], due: time.Now().Add(c.delay)}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes each chunk when it is due and closes the connection when the
// sender has ended and everything was delivered.
func (c *conn) deliver(dst net.Conn, chunks <-chan chunk) {
	defer c.forget()
	for ch := range chunks {
		if !c.wait(ch.due) {
			return
		}
		if c.silent.Load() {
			continue
		}
		if _, err := dst.Write(ch.data); err != nil {
			return
		}
	}
}

// wait blocks until the due time and while the link is cut.
func (c *conn) wait(due time.Time) bool {
	if d := time.Until(due); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
			return false
		}
	}
	for {
		cut, changed := c.net.isCut(c.ends)
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

func (c *conn) forget() {
	if !c.silent.Load() {
		// The end of a cut connection is news that the cut holds back too.
		c.wait(time.Now())
	}
	c.close()
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
}
