package peer

import (
	"net"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// writeQueueSize is the capacity of a connection's send queue in frames. An
// unresponsive peer fills it; further frames are then refused, which bounds the
// memory.
const writeQueueSize = 256

// writer sends queued frames in the background, so that a call never blocks on
// the connection, and coalesces them into few writes.
type writer struct {
	conn    net.Conn
	timeout time.Duration
	frames  chan []byte
	stop    chan struct{}
	once    sync.Once
}

func newWriter(conn net.Conn, timeout time.Duration) *writer {
	return &writer{conn: conn, timeout: timeout, frames: make(chan []byte, writeQueueSize), stop: make(chan struct{})}
}

func (w *writer) send(b []byte) error {
	select {
	case <-w.stop:
		return net.ErrClosed
	default:
	}
	select {
	case w.frames <- b:
		return nil
	default:
		return siskin.NewError(siskin.Overloaded, "the send queue of the connection is full with %d messages", writeQueueSize).WithRemedy("retry later")
	}
}

// run writes queued frames until close is called or a write fails.
func (w *writer) run() {
	for {
		select {
		case <-w.stop:
			return
		case b := <-w.frames:
			b = w.coalesce(b)
			_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
			if _, err := w.conn.Write(b); err != nil {
				w.close()
				return
			}
		}
	}
}

// coalesce appends queued frames to b until it reaches the size of a TLS record.
func (w *writer) coalesce(b []byte) []byte {
	for len(b) < 16<<10 {
		select {
		case next := <-w.frames:
			b = append(b, next...)
		default:
			return b
		}
	}
	return b
}

// close stops run and closes the connection, which also ends its reader.
func (w *writer) close() {
	w.once.Do(func() {
		close(w.stop)
		_ = w.conn.Close()
	})
}
