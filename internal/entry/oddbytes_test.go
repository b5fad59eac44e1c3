package entry

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
)

// lines collects the log of a session.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestLogOfOddBytes guards against ids, database names and signatures that break a
// log line or fill the log.
func TestLogOfOddBytes(t *testing.T) {
	const maxLine = 1000
	odd := "\x01\x1b\xe4\n\r\"" + strings.Repeat("x", 1<<16)
	f := newFixture(t)
	var log lines
	f.e.cfg.Log = logs.New("info", "json", &log)
	f.homes.replies = []home.Reply{{Outcome: home.Answered, Answer: siskin.Answer{Signature: odd}, Conn: 1, Home: "vm"}}
	write, receive := connect(t, f)
	write("START bounded key")
	if answer, closed := receive(); closed {
		t.Fatalf("opening: got %q and a close, want READY", answer)
	}
	write("QUERY " + odd + " READ x")
	if answer, closed := receive(); closed || !strings.HasPrefix(answer, "DONE "+odd) {
		t.Errorf("read: got %.80q, closed %v, want the signature", answer, closed)
	}
	write, receive = connect(t, f)
	write("START " + odd + " key")
	if answer, closed := receive(); !closed || !strings.HasPrefix(answer, "ERROR NODB") {
		t.Errorf("unknown database: got %.80q, closed %v, want NODB", answer, closed)
	}
	written := strings.SplitAfter(log.text(), "\n")
	if len(written) != 3 {
		t.Errorf("got %d log lines, want 2", len(written)-1)
	}
	for _, line := range written[:len(written)-1] {
		if !json.Valid([]byte(line)) || len(line) > maxLine {
			t.Errorf("got a log line of %d bytes, valid %v, want at most %d: %.300q", len(line), json.Valid([]byte(line)), maxLine, line)
		}
	}
}

// TestUnknownReply guards against a code or state that only another version of the
// program knows and that ends the session by a panic.
func TestUnknownReply(t *testing.T) {
	f := newFixture(t)
	f.homes.replies = []home.Reply{{Outcome: home.Answered, Answer: siskin.Answer{Code: siskin.NoAuth + 1, State: siskin.TxFailed + 1}}}
	send, receive := openSession(t, f)
	send("WRITE x 1")
	if answer, closed := receive(); closed || !strings.HasPrefix(answer, "ERROR FAILED") {
		t.Errorf("got %q, closed %v, want ERROR FAILED", answer, closed)
	}
}
