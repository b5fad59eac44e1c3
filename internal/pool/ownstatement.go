package pool

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/frame"
)

// resetQuery and probeQuery are statements of the pool itself, encoded once.
var (
	resetQuery = encodeQuery(resetTag)
	probeQuery = encodeQuery("")
)

// resetTag is the statement that resets a session, and its command tag.
const resetTag = "DISCARD ALL"

func encodeQuery(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // constant input
	}
	return b
}

// reset discards the state of the session.
func (c *Conn) reset() bool { return c.ownStatement(resetQuery, resetTimeout, 'C', resetTag+"\x00") }

// answersProbe reports whether the target answers an empty statement.
func (c *Conn) answersProbe(timeout time.Duration) bool {
	return c.ownStatement(probeQuery, timeout, 'I', "")
}

// ownStatement runs a statement without rows. It reports whether the answer
// consists of one message of the given type and body, and the target then
// reported the idle status. Any other answer belongs to an earlier statement, and
// the one to this statement is still to come.
func (c *Conn) ownStatement(query []byte, timeout time.Duration, typ byte, body string) bool {
	answered := 0
	ok := c.simpleQuery(query, timeout, func(t byte, b []byte) bool {
		if t == typ {
			answered++
			return string(b) == body
		}
		return isAsync(t) || t == 'Z'
	})
	return ok && answered == 1
}

// isAsync reports whether a target may send a type of message at any time.
func isAsync(typ byte) bool { return typ == 'N' || typ == 'S' || typ == 'A' }

// simpleQuery runs a statement and passes each message of the answer to handle.
// It reports whether the target then reported the idle status, and fails if
// handle returns false.
func (c *Conn) simpleQuery(query []byte, timeout time.Duration, handle func(typ byte, body []byte) bool) bool {
	if c.SetDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	_ = c.W.Raw(query) // Flush returns the error again
	if c.W.Flush() != nil {
		return false
	}
	for {
		h, err := c.R.Next()
		if err != nil {
			return false
		}
		body, err := c.R.Body(frame.BufferSize)
		if err != nil || !handle(h.Type, body) {
			return false
		}
		if h.Type == 'Z' {
			idle := len(body) == 1 && body[0] == 'I' // body is invalid after Release
			c.R.Release()
			return idle && c.R.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
		}
	}
}
