package logs

import (
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
