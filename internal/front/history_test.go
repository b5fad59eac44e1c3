package front

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// history records the results of reads and writes as the callers received them.
type history struct {
	mu                       sync.Mutex
	acked, notRun, unknown   map[string]bool
	reads, wrong, unexpected []string
}

func (h *history) read(a rawAnswer, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.err == nil && a.status == 'I' && (len(a.values) != 1 || a.values[0] != id) {
		h.wrong = append(h.wrong, fmt.Sprintf("%s: got %q", id, a.values))
	}
	h.reads = append(h.reads, a.code())
}

func (h *history) write(a rawAnswer, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch code := a.code(); {
	case len(a.values) > 0:
		h.wrong = append(h.wrong, fmt.Sprintf("%s: got rows %q for a write", id, a.values))
	case code == "" && a.status == 'I' && strings.Contains(a.types, "C"):
		h.acked[id] = true
	case code == "57P03" || code == "53300" || code == "57014" || code == "25006":
		h.notRun[id] = true
	case code == "08007" || a.status == 0:
		h.unknown[id] = true
	default:
		h.unexpected = append(h.unexpected, fmt.Sprintf("%s: %+v %+v", id, a, a.err))
	}
}

// check compares the results that callers received with the primary's log.
func (h *history) check(t *testing.T, f *fleet) {
	t.Helper()
	time.Sleep(100 * time.Millisecond)
	runs := make(map[string]int)
	for _, r := range f.targets[0].Store().Records() {
		for _, op := range r.Ops {
			runs[op.Key]++
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", id, n)
		}
		if h.notRun[id] {
			t.Errorf("%s: reported as not run, but it ran", id)
		}
	}
	for id := range h.acked {
		if runs[id] != 1 {
			t.Errorf("%s: acknowledged, got %d runs, want 1", id, runs[id])
		}
	}
	for _, w := range append(h.wrong, h.unexpected...) {
		t.Error(w)
	}
	ok := 0
	for _, code := range h.reads {
		if code == "" {
			ok++
		}
	}
	t.Logf("writes: %d acknowledged, %d not run, %d unknown; reads: %d of %d answered", len(h.acked), len(h.notRun), len(h.unknown), ok, len(h.reads))
	if len(h.acked) == 0 || ok == 0 {
		t.Error("got no successful reads or writes, want some")
	}
}
