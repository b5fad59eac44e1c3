package logs

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowWriter blocks each write until release is closed.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *slowWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// TestNonBlocking guards against requests that block on a slow log reader,
// and against dropped lines that are not reported.
func TestNonBlocking(t *testing.T) {
	slow := &slowWriter{release: make(chan struct{})}
	w := NonBlocking(slow)
	began := time.Now()
	for range 3 * maxQueuedLines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("writes to a blocked reader took %v, want no wait", took)
	}
	close(slow.release)
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(slow.String(), "log lines were dropped"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("dropped lines were not reported within 5 s")
		}
	}
}

// TestNonBlockingClose guards against the last lines of a process that are lost,
// such as its reason to end, and against an end that waits for a blocked reader.
func TestNonBlockingClose(t *testing.T) {
	slow := &slowWriter{release: make(chan struct{})}
	w := NonBlocking(slow)
	const lines = maxQueuedLines / 2
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := w.Close(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("close with a blocked reader: got %v, want the deadline exceeded", err)
	}
	close(slow.release)
	if err := w.Close(t.Context()); err != nil {
		t.Errorf("close with a reader: got %v, want no error", err)
	}
	if got := strings.Count(slow.String(), "line\n"); got != lines {
		t.Errorf("got %d lines after the close, want %d", got, lines)
	}
}
