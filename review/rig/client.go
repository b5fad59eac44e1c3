package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// answerTimeout is longer than the timeout of any route.
	answerTimeout = 5 * time.Second
)

// nextID is the number of the last statement of all clients.
var nextID atomic.Int64

// client is one session of a client.
type client struct {
	rec  *recorder
	name string
	conn net.Conn
	r    *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	id        string
	rows      []string
	code      string // empty on success
	text      string
	signature string
	state     string
	sentAt    time.Duration
	complete  bool
}

// dial opens a session.
func dial(rec *recorder, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &client{rec: rec, name: name, conn: conn, r: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(dialTimeout)) // fails only when closed
	_, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	if err == nil {
		var line string
		if line, err = readLine(c.r); err == nil && !strings.HasPrefix(line, "READY I") {
			err = fmt.Errorf("session refused: %q", line)
		}
	}
	if err != nil {
		_ = conn.Close() // the session was refused
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// ended reports whether the VM has closed the idle session.
func (c *client) ended() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only when closed
	_, err := c.r.Peek(1)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// query sends one statement and reads its answer.
func (c *client) query(text string) (answer, error) {
	a := answer{id: fmt.Sprintf("c%06d", nextID.Add(1))}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout)) // fails only when closed
	c.rec.logf("client %s sends %s %q", c.name, a.id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		c.rec.logf("client %s could not send %s: %v", c.name, a.id, err)
		return a, err
	}
	a.sentAt = c.rec.now()
	for {
		line, err := readLine(c.r)
		if err != nil {
			c.rec.logf("client %s has no complete answer to %s: %v", c.name, a.id, err)
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			a.complete = true
			c.rec.logf("client %s gets for %s: rows %q code %q %q signature %q state %s", c.name, a.id, a.rows, a.code, a.text, a.signature, a.state)
			return a, nil
		}
	}
}

// readLine reads a line that CR LF ends.
func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := r.ReadString('\n')
		b.WriteString(part)
		if err != nil {
			return b.String(), err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}
