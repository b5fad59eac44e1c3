package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the queue of lines for a slow log reader.
const maxQueuedLines = 1024

// NonBlockingWriter queues lines for a goroutine that writes them. When the queue
// is full, lines are dropped and counted, so that a request never waits for the
// log.
type NonBlockingWriter struct {
	lines   chan []byte
	dropped atomic.Int64

	closeOnce sync.Once
	closing   chan struct{}
	done      chan struct{}
}

// NonBlocking returns a writer to w that never blocks. After the next write to
// w, it logs the number of lines dropped.
func NonBlocking(w io.Writer) *NonBlockingWriter {
	n := &NonBlockingWriter{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go n.run(w)
	return n
}

func (n *NonBlockingWriter) run(w io.Writer) {
	defer close(n.done)
	for {
		select {
		case line := <-n.lines:
			n.writeLine(w, line)
		case <-n.closing:
			n.writeQueued(w)
			return
		}
	}
}

// writeQueued writes the lines that are queued at the moment.
func (n *NonBlockingWriter) writeQueued(w io.Writer) {
	for range len(n.lines) {
		n.writeLine(w, <-n.lines)
	}
}

func (n *NonBlockingWriter) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		n.dropped.Add(1)
	}
	if d := n.dropped.Swap(0); d > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"Dropped\":%d,\"message\":\"log lines were dropped\"}\n", d)
	}
}

// Write implements io.Writer.
func (n *NonBlockingWriter) Write(p []byte) (int, error) {
	select {
	case n.lines <- append([]byte(nil), p...):
	default:
		n.dropped.Add(1)
	}
	return len(p), nil
}

// Close waits until the lines so far are written, or ctx is done. Later lines are
// lost.
func (n *NonBlockingWriter) Close(ctx context.Context) error {
	n.closeOnce.Do(func() { close(n.closing) })
	select {
	case <-n.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
