package peer

import (
	"net"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// writeQueueSize is the number of frames that wait for one connection. A silent
// peer fills it; further frames are then refused and not kept in memory.
const writeQueueSize = 256

// writer sends frames in the background, so that a call never waits for a
// blocked connection, and joins waiting frames into one write.
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
		return siskin.NewError(siskin.Overloaded, "%d messages wait for the connection already", writeQueueSize).WithRemedy("retry later")
	}
}

// run writes frames until close, or until a write fails.
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

// coalesce appends waiting frames to b, up to the size of a TLS record.
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

// close ends run and the connection, and thereby the reader.
func (w *writer) close() {
	w.once.Do(func() {
		close(w.stop)
		_ = w.conn.Close()
	})
}
