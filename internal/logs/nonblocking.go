package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait for a slow reader of the log.
const maxQueuedLines = 1024

// nonBlocking hands lines to a goroutine that writes them. Lines beyond its
// queue are dropped and counted, since a request must never wait for the log.
type nonBlocking struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NonBlocking returns a writer that never blocks. The number of lines dropped
// is written as soon as there is room again.
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
