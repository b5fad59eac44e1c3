package target_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin/internal/stand/target"
)

// TestLostCommitAnswer guards against a lost answer whose change did not take
// effect, and against a recording that misses bytes of the client.
func TestLostCommitAnswer(t *testing.T) {
	s := startGroup(t, func(c *target.Config) { c.RecordReceived = true })[0]
	s.LoseAnswers("COMMIT", 1)
	_, err := connect(t, s, full, "siskin.slot=0").Exec(t.Context(), "insert into kv values ($1, $2)", "k", "needle")
	if err == nil {
		t.Error("got an answer, want a broken connection")
	}
	if v, ok := s.Store().Get("k"); !ok || v != "needle" {
		t.Errorf("got %q, %v, want the change in effect", v, ok)
	}
	if !s.Received("needle") || s.Received("haystack") {
		t.Error("got a recording without the parameter or with bytes never sent")
	}
}

// TestSilentOverAdmin guards against a silent target that answers or that ends
// its connections, and against an admin address that ignores a fault.
func TestSilentOverAdmin(t *testing.T) {
	s := startGroup(t, func(c *target.Config) { c.AdminAddress = "127.0.0.1:0" })[0]
	conn := connect(t, s, full, "")
	post := func(path, body string, want int) {
		t.Helper()
		resp, err := http.Post("http://"+s.AdminAddress()+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != want {
			t.Fatalf("POST %s: got status %d, want %d", path, resp.StatusCode, want)
		}
	}
	defer http.DefaultClient.CloseIdleConnections()
	post("/faults", `{"Silent": true, "AnswerDelay": "1ms"}`, http.StatusOK)
	post("/faults", `{"Mute": true}`, http.StatusBadRequest)
	done := make(chan error, 1)
	go func() { _, err := conn.Exec(context.Background(), "select 1"); done <- err }()
	select {
	case err := <-done:
		t.Fatalf("got an answer (%v) from a silent target, want none", err)
	case <-time.After(100 * time.Millisecond):
	}
	post("/faults", `{"Silent": false}`, http.StatusOK)
	if err := <-done; err != nil {
		t.Fatalf("got %v after the silence, want an answer", err)
	}
	post("/cut", "", http.StatusOK)
	if _, err := conn.Exec(t.Context(), "select 1"); err == nil {
		t.Fatal("got an answer on a connection that was cut")
	}
}

// TestDemotedConnectionStaysReadOnly guards against a position, read on a
// connection from before a demotion, that does not cover what it wrote.
func TestDemotedConnectionStaysReadOnly(t *testing.T) {
	servers := startGroup(t, nil)
	conn := connect(t, servers[0], full, "siskin.slot=0")
	control := connect(t, servers[0], full, "")
	run := func(sql string) {
		t.Helper()
		if _, err := control.PgConn().Exec(t.Context(), sql).ReadAll(); err != nil {
			t.Fatal(err)
		}
	}
	run("select siskin_follow('ledger/2', '', 2)")
	run("select siskin_claim(3, 'vm-1')")
	run("select pg_promote()")
	for _, sql := range []string{"select siskin_commit_position()", "insert into kv values ('a', 'b')"} {
		_, err := conn.PgConn().Exec(t.Context(), sql).ReadAll()
		if got, want := state(err), "25006"; got != want {
			t.Errorf("%s on an old connection: got %q (%v), want %q", sql, got, err, want)
		}
	}
	if _, err := connect(t, servers[0], full, "").Exec(t.Context(), "insert into kv values ('a', 'b')"); err != nil {
		t.Errorf("on a new connection: got %v, want success", err)
	}
}
