package plat

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// startRepeating starts a platform that answers each request with the next
// response, and sends the previous one again before it if the connection is the
// same. It returns a client of it.
func startRepeating(t *testing.T, responses ...string) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := func() []byte {
		mu.Lock()
		defer mu.Unlock()
		if len(responses) == 0 {
			return nil
		}
		status, body := responses[0][:3], responses[0][4:]
		responses = responses[1:]
		return fmt.Appendf(nil, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		var last []byte
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			own := next()
			if _, err := conn.Write(append(bytes.Clone(last), own...)); own == nil || err != nil {
				return
			}
			last = own
		}
	}
	wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(conn) })
		}
	})
	c, err := New(Config{Addresses: []string{l.Addr().String()}, CallsPerSecond: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		l.Close()
		wg.Wait()
	})
	return c
}

// TestRepeatedResponse guards against taking the late second response to an
// earlier request for that of another object or update.
func TestRepeatedResponse(t *testing.T) {
	put := func(name siskin.ObjectName, v siskin.Version) func(context.Context, *Client) string {
		return func(ctx context.Context, c *Client) string {
			version, err := c.Put(ctx, name, []byte("x"), v, "op")
			if err != nil {
				return siskin.KindOf(err).String()
			}
			return fmt.Sprint("version ", version)
		}
	}
	get := func(name siskin.ObjectName) func(context.Context, *Client) string {
		return func(ctx context.Context, c *Client) string {
			o, err := c.Get(ctx, name)
			if err != nil {
				return siskin.KindOf(err).String()
			}
			return fmt.Sprintf("%s %d", o.Name, o.Version)
		}
	}
	for _, c := range []struct {
		name          string
		first, second func(context.Context, *Client) string
		responses     []string
		want          string // of the second request
	}{
		{"refused update after an accepted one", put("A", 4), put("B", 4), []string{`200 {"Version":5}`, `409 {"Version":9,"Recent":[{"Operation":"o","Version":5}]}`}, "Conflict"},
		{"update after a refused one", put("A", 4), put("B", 4), []string{`409 {"Version":9,"Recent":[{"Operation":"o","Version":5}]}`, `200 {"Version":5}`}, "version 5"},
		{"update after a read", get("A"), put("A", 4), []string{`200 {"Name":"A","Version":5}`, `409 {"Version":9,"Recent":[{"Operation":"o","Version":5}]}`}, "Conflict"},
		{"read of another object", get("A"), get("B"), []string{`200 {"Name":"A","Version":5}`, `200 {"Name":"B","Version":6}`}, "BadInput"},
		{"update to a version that does not follow", get("A"), put("A", 4), []string{`200 {"Name":"A","Version":4}`, `200 {"Version":4}`}, "OutcomeUnknown"},
		{"refusal for the present version", get("A"), put("A", 4), []string{`200 {"Name":"A","Version":4}`, `409 {"Version":4}`}, "OutcomeUnknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := timeoutContext(t, 2*time.Second)
			client := startRepeating(t, c.responses...)
			c.first(ctx, client)
			if got := c.second(ctx, client); got != c.want {
				t.Errorf("second request: got %s, want %s", got, c.want)
			}
		})
	}
}
