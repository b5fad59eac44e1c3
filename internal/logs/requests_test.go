package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// TestRequests guards against failures that are left out without being counted,
// against one sort of failure that hides another one, and against levels at
// which an operator does not see a fault.
func TestRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var b bytes.Buffer
	r := NewRequestLogger(clock, New("info", "json", &b))
	fail := func(id uint64, kind siskin.ErrorKind) string {
		b.Reset()
		r.Failed(Request{ID: id, Service: "ledger", Route: "write"}, siskin.NewError(kind, "it failed"), "request failed")
		return b.String()
	}
	if got := fail(7, siskin.NotRun); !strings.Contains(got, `"RequestID":"0000000000000007"`) || !strings.Contains(got, `"level":"warn"`) || !strings.Contains(got, `"Kind":"NotRun"`) {
		t.Errorf("got %q, want a warning with id and kind", got)
	}
	for id := range uint64(5) {
		if got := fail(id+8, siskin.NotRun); got != "" {
			t.Errorf("within a second: got %q, want nothing", got)
		}
	}
	if got := fail(13, siskin.RateExceeded); !strings.Contains(got, `"level":"info"`) {
		t.Errorf("other kind: got %q, want a line of level info", got)
	}
	clock.Advance(time.Second)
	if got := fail(14, siskin.NotRun); !strings.Contains(got, `"Suppressed":5`) {
		t.Errorf("after a second: got %q, want 5 suppressed", got)
	}
	b.Reset()
	r.Trace(Request{ID: 15}, nil, "attempt begins")
	NewRequestLogger(clock, nil).Failed(Request{}, siskin.NewError(siskin.NotRun, "it failed"), "request failed")
	if got := b.String(); got != "" {
		t.Errorf("below the level and without a logger: got %q, want nothing", got)
	}
}
