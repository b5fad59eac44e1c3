package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the queue of lines for a slow log reader.
const maxQueuedLines = 1024

// nonBlocking queues lines for a goroutine that writes them. When the queue is
// full, lines are dropped and counted, so that a request never waits for the
// log.
type nonBlocking struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NonBlocking returns a writer to w that never blocks. After the next write to
// w, it logs the number of lines dropped.
func NonBlocking(w io.Writer) io.Writer {
	n := &nonBlocking{lines: make(chan []byte, maxQueuedLines)}
	go n.run(w)
	return n
}

func (n *nonBlocking) run(w io.Writer) {
	for line := range n.lines {
		if _, err := w.Write(line); err != nil {
			n.dropped.Add(1)
		}
		if d := n.dropped.Swap(0); d > 0 {
			_, _ = fmt.Fprintf(w, "{\"level\":\"warn\",\"Dropped\":%d,\"message\":\"log lines were dropped\"}\n", d)
		}
	}
}

// Write implements io.Writer.
func (n *nonBlocking) Write(p []byte) (int, error) {
	select {
	case n.lines <- append([]byte(nil), p...):
	default:
		n.dropped.Add(1)
	}
	return len(p), nil
}
