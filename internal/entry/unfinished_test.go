package entry

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin/platform"
)

// TestStopWithUnfinishedMessage guards against half a message that keeps a session
// open when a planned stop asks it to end.
func TestStopWithUnfinishedMessage(t *testing.T) {
	f := newFixture(t)
	for name, first := range map[string]string{"statement": "START primary key\r\n", "start": ""} {
		caller, server := net.Pipe()
		f.e.Serve(platform.NewCaller(server))
		if first != "" {
			fmt.Fprint(caller, first)
			if got := readAll(caller, len("READY I -\r\n")); got != "READY I -\r\n" {
				t.Fatalf("%s: opening: got %q, want READY", name, got)
			}
		}
		if _, err := fmt.Fprint(caller, "QUERY 1 WRITE x"); err != nil { // returns when it is read
			t.Fatal(err)
		}
		f.e.EndSessions(5)
		if got := readAll(caller, 1<<10); !strings.HasPrefix(got, "ERROR MALFORMED") {
			t.Errorf("%s: got %q, want ERROR MALFORMED and a close", name, got)
		}
		_ = caller.Close()
		_ = f.e.Close()
		f.e.stopped = false
	}
}

// TestMalformedStart guards against a startup message that is refused without an
// answer.
func TestMalformedStart(t *testing.T) {
	f := newFixture(t)
	write, receive := connect(t, f)
	write("HELLO primary key")
	if got, closed := receive(); !closed || !strings.HasPrefix(got, "ERROR MALFORMED") {
		t.Errorf("got %q, closed %v, want ERROR MALFORMED and a close", got, closed)
	}
}

// readAll reads up to n bytes, until a close or for 3 s.
func readAll(conn net.Conn, n int) string {
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second)) // fails only when closed
	b := make([]byte, n)
	size := 0
	for size < n {
		m, err := conn.Read(b[size:])
		size += m
		if err != nil {
			break
		}
	}
	return string(b[:size])
}
