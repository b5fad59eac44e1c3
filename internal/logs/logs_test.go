package logs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// TestRequestField guards against lines of a request that cannot be found by
// its id, and against text that breaks out of its line.
func TestRequestField(t *testing.T) {
	var b bytes.Buffer
	l := ForRequest(New("info", "json", &b), "r-1")
	l.Debug().Msg("not written")
	l.Error().Err(errors.New("a\n\"b\"")).Msg("statement failed")
	var line map[string]any
	if err := json.Unmarshal(b.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, b.String())
	}
	if got, want := line[RequestIDField], "r-1"; got != want {
		t.Errorf("got request id %v, want %v", got, want)
	}
	if got, want := line["error"], "a\n\"b\""; got != want {
		t.Errorf("got error %q, want %q", got, want)
	}
}

// TestText guards against a text format that drops fields.
func TestText(t *testing.T) {
	var b bytes.Buffer
	ForRequest(New("debug", "text", &b), "r-2").Info().Str("Target", "ledger-a/1").Msg("probe failed")
	if got := b.String(); !strings.Contains(got, "probe failed") || !strings.Contains(got, "r-2") || !strings.Contains(got, "ledger-a/1") {
		t.Errorf("got %q, want message, request id and target", got)
	}
}

// TestSetLevel guards against a level that changes for some loggers only, and,
// under the race detector, against a change that races with lines.
func TestSetLevel(t *testing.T) {
	var b bytes.Buffer
	l := New("info", "json", &b)
	r := ForRequest(l, "r-3")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100 {
			r.Debug().Msg("other")
		}
	}()
	SetLevel(l, "error")
	<-done
	l.Warn().Msg("below")
	r.Warn().Msg("below")
	if got := b.String(); got != "" {
		t.Errorf("got %s, want no line below the level", got)
	}
	SetLevel(l, "debug")
	r.Debug().Msg("above")
	if got, want := Level(l), log.DebugLevel; got != want || !strings.Contains(b.String(), "above") {
		t.Errorf("got level %v and %q, want debug and a line", got, b.String())
	}
}

// TestRepeats guards against a log that one failing target fills, and against
// a limit that hides how often a line was left out.
func TestRepeats(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := NewRepeats(clock, time.Second)
	var b bytes.Buffer
	l := New("info", "json", &b)
	for range 100 {
		r.Msg(l.Warn(), "target-down", "connection refused")
		r.Msg(l.Debug(), "debug", "not enabled")
	}
	clock.Advance(time.Second)
	r.Msg(l.Warn(), "target-down", "connection refused")
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	if got, want := len(lines), 2; got != want {
		t.Fatalf("got %d lines, want %d", got, want)
	}
	if !strings.Contains(lines[1], `"Suppressed":99`) {
		t.Errorf("got %s, want 99 suppressed", lines[1])
	}
	for i := range 10 * maxRepeatKeys {
		r.Allow(fmt.Sprint(i))
	}
	if got := r.keys.Len(); got > maxRepeatKeys+1 {
		t.Errorf("got %d keys, want at most %d", got, maxRepeatKeys+1)
	}
}
