package entry

import (
	"bytes"
	"strings"
	"testing"

	"siskintray.example/siskin/internal/logs"
)

// TestLines guards against a flood of one kind of request that fills the log
// or suppresses the lines of the other kind.
func TestLines(t *testing.T) {
	var b bytes.Buffer
	l, to := newLogLimiter(), logs.New("info", "json", &b)
	write := func(success bool) {
		if e, suppressed, ok := l.next(to, success); ok {
			e.Int64("Suppressed", suppressed).Msg("request")
		}
	}
	for range 10 * lineBurst {
		write(true)
	}
	// The limiter refills while the loop runs, by far less than its burst
	// size.
	if got := strings.Count(b.String(), "\n"); got < lineBurst || got > 2*lineBurst {
		t.Errorf("lines written for a flood: got %d, want %d to twice as many", got, lineBurst)
	}
	b.Reset()
	write(false)
	if got := b.String(); !strings.Contains(got, "warn") || strings.Contains(got, "\"Suppressed\":0,") {
		t.Errorf("failure after a flood: got %q, want a line with the number of dropped lines", got)
	}
}
