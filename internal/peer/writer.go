package peer

import (
	"net"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
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
	// memory is charged with queued frames above memory.FreeSize.
	memory *memory.Share
	frames chan []byte
	stop   chan struct{}

	mu     sync.Mutex // guards closed, so that no frame is queued after close
	closed bool
}

func newWriter(conn net.Conn, cfg *Config) *writer {
	return &writer{conn: conn, timeout: cfg.KeepaliveTimeout, memory: cfg.Memory.Peers(), frames: make(chan []byte, writeQueueSize), stop: make(chan struct{})}
}

// charge is the part of a frame that counts.
func charge(b []byte) int64 {
	if len(b) <= memory.FreeSize {
		return 0
	}
	return int64(len(b))
}

// sendRequest queues a frame if there is memory for it.
func (w *writer) sendRequest(b []byte) error {
	n := charge(b)
	if n > 0 && !w.memory.Take(n) {
		return siskin.NewError(siskin.Overloaded, "a message of %d bytes does not fit into the memory of this VM", len(b)).WithRemedy("retry later")
	}
	return w.queue(b, n)
}

// send queues a frame whose content must not be lost.
func (w *writer) send(b []byte) error {
	n := charge(b)
	w.memory.Force(n)
	return w.queue(b, n)
}

// queue queues a frame that n bytes were reserved for.
func (w *writer) queue(b []byte, n int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.memory.Give(n)
		return net.ErrClosed
	}
	select {
	case w.frames <- b:
		return nil
	default:
		w.memory.Give(n)
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
			n := charge(b)
			b, n = w.coalesce(b, n)
			_ = w.conn.SetWriteDeadline(time.Now().Add(w.timeout))
			_, err := w.conn.Write(b)
			w.memory.Give(n)
			if err != nil {
				w.close()
				return
			}
		}
	}
}

// coalesce appends queued frames to b until it reaches the size of a TLS record, and
// adds what they count to n.
func (w *writer) coalesce(b []byte, n int64) ([]byte, int64) {
	for len(b) < 16<<10 {
		select {
		case next := <-w.frames:
			b, n = append(b, next...), n+charge(next)
		default:
			return b, n
		}
	}
	return b, n
}

// close stops run and closes the connection, which also ends its reader. Frames that
// were not written are dropped.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	close(w.stop)
	_ = w.conn.Close()
	for {
		select {
		case b := <-w.frames:
			w.memory.Give(charge(b))
		default:
			return
		}
	}
}
