package front

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
)

// logBuffer collects the log lines of one VM.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the fields of the lines with the message.
func (l *logBuffer) lines(t *testing.T, message string) (found []map[string]any) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.b.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		if fields["message"] == message {
			found = append(found, fields)
		}
	}
	return found
}

// startLogged starts two VMs that log at the given level; the second one
// forwards all transactions to the first.
func startLogged(t *testing.T, level string) (*fleet, *logBuffer, *logBuffer) {
	t.Helper()
	home, entry := &logBuffer{}, &logBuffer{}
	buffers := map[siskin.VMID]*logBuffer{"vm-0": home, "vm-1": entry}
	f := startFleetWith(t, 2, nil, func(c *Config) { c.Log = logs.New(level, "json", buffers[c.VM]) })
	f.firstOwnsAll.Store(true)
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	return f, home, entry
}

// TestRequestIDSpansVMs guards against log lines of a statement at the entry VM
// and at the slot's home that no common id connects.
func TestRequestIDSpansVMs(t *testing.T) {
	f, home, entry := startLogged(t, "debug")
	c := f.vms[1].connectRaw(t, "badges/write")
	if a := c.query("select 'done'"); a.code() != "" {
		t.Fatal(a.err)
	}
	f.limiter.refuse.Store(true)
	if a := c.query("select 'refused'"); a.code() != "53400" {
		t.Fatalf("got %+v, want a refusal", a)
	}
	ids := func(buf *logBuffer, message string, want int) (all []any) {
		t.Helper()
		for _, line := range buf.lines(t, message) {
			all = append(all, line[logs.RequestIDField])
		}
		if len(all) != want || all[0] == nil {
			t.Fatalf("%s: got ids %v, want %d", message, all, want)
		}
		return all
	}
	begun, arrived := ids(entry, "attempt started", 2), ids(home, "forwarded transaction arrived", 2)
	for i := range begun {
		if begun[i] != arrived[i] {
			t.Errorf("statement %d: got id %v at the entry VM and %v at the home, want the same", i, begun[i], arrived[i])
		}
	}
	failed, refused := ids(entry, "request failed", 1), ids(home, "forwarded transaction failed", 1)
	if failed[0] != begun[1] || refused[0] != begun[1] || begun[0] == begun[1] {
		t.Errorf("got ids %v and %v for a refusal of %v, want that of the second statement", failed, refused, begun)
	}
}

// TestFailureLogRateLimit guards against a log that is flooded by a customer
// over its rate or by callers with a wrong key.
func TestFailureLogRateLimit(t *testing.T) {
	f, home, entry := startLogged(t, "info")
	f.limiter.refuse.Store(true)
	c := f.vms[1].connectRaw(t, "badges/write")
	const n = 200
	for range n {
		c.query("select 1")
	}
	for range n / 10 {
		if _, err := f.vms[1].dialPGX("write", "wrong", ""); err == nil {
			t.Fatal("got a connection with a wrong key, want none")
		}
	}
	for message, buf := range map[string]*logBuffer{"request failed": entry, "forwarded transaction failed": home, "caller refused at start-up": entry} {
		// At most one line is logged per second; the test takes less than two.
		if got := len(buf.lines(t, message)); got < 1 || got > 3 {
			t.Errorf("%s: got %d lines, want 1 to 3", message, got)
		}
	}
	if got := len(entry.lines(t, "attempt started")); got != 0 {
		t.Errorf("got %d lines of level debug, want none", got)
	}
}
