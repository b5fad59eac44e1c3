package pool

import (
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/frame"
)

// The probes of idle connections decide about one in use only when an idle one
// from before the fault is left, and no connection that was opened just after
// it passes for an old one that still answers. So the target itself is asked
// whether it still works on the statements of connections that are quiet. When
// it waits for the next statement of a connection and nothing arrives there,
// the statement or its answer was lost.

const (
	// sessionCheckAfter is how long an answer is awaited before the target is asked, and
	// the time between two questions of a slot and account.
	sessionCheckAfter = time.Second
	// answerTransitTime is the time for an answer on its way to arrive, from the target's
	// reply that it was sent.
	answerTransitTime = 400 * time.Millisecond
)

// quietRead is a read that has returned nothing for some time.
type quietRead struct {
	conn  *Conn
	since int64 // as in Conn.reading
}

// checkQuiet asks the target about the connections in use that are quiet, over an
// idle connection of the same account, which sees the state of the others. The
// caller holds mu.
func (s *slot) checkQuiet(now time.Time) {
	if s.cfg.Stateless {
		return // another VM does not report the state of its sessions
	}
	for account := range Account(numAccounts) {
		idle := s.idle[account]
		if s.busy[account] == 0 || len(idle) == 0 || now.Sub(s.lastCheck[account]) < sessionCheckAfter {
			continue
		}
		quiet := s.quietReads(account, now)
		if len(quiet) == 0 {
			continue
		}
		s.lastCheck[account] = now
		// The youngest is the most likely to be from after a fault.
		c := slices.MaxFunc(idle, func(a, b *Conn) int { return a.openedAt.Compare(b.openedAt) })
		s.idle[account] = slices.DeleteFunc(idle, func(other *Conn) bool { return other == c })
		c.state = connProbing
		s.pool.start(s.pool.probers, func() { s.checkSessions(c, quiet) })
	}
}

// quietReads returns the reads of an account that have waited for askAfter. The
// caller holds mu.
func (s *slot) quietReads(account Account, now time.Time) []quietRead {
	var quiet []quietRead
	for c := range s.conns {
		since := c.readingSince.Load()
		if c.account == account && c.state == connBusy && since != 0 && !c.streaming.Load() && !c.silent.Load() &&
			now.Sub(time.Unix(0, since)) >= sessionCheckAfter {
			quiet = append(quiet, quietRead{c, since})
		}
	}
	return quiet
}

// checkSessions finds out which of the connections the target has no statement of.
func (s *slot) checkSessions(c *Conn, quiet []quietRead) {
	defer s.closeAfterPanic(c)
	sent := s.pool.clock.Now()
	heardAt, idleSince := c.lastRead(), c.idleSince
	idle, ok := c.idleSessions(quiet)
	if !ok {
		s.closeSilent(c, heardAt, sent)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastCheck[c.account] = time.Time{} // another connection may know
		return
	}
	s.putProbed(c, idleSince)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range quiet {
		if slices.Contains(idle, q.conn.processID) {
			q.conn.lostRead, q.conn.lostAt = q.since, s.pool.clock.Now()
		}
	}
}

// abortLost ends the wait on connections whose target has no statement of them,
// unless something has arrived since. The caller holds mu.
func (s *slot) abortLost(now time.Time) {
	if s.busy[Full]+s.busy[ReadOnly] == 0 {
		return
	}
	for c := range s.conns {
		if c.lostRead == 0 || now.Sub(c.lostAt) < answerTransitTime {
			continue
		}
		if c.state == connBusy && c.readingSince.Load() == c.lostRead && !c.silent.Load() {
			s.stats.silent++
			c.abortRead()
		}
		c.lostRead = 0
	}
}

// idleSessions asks which of the sessions wait for a statement. It reports
// false when the connection cannot be used anymore. A target that refuses the
// question says nothing about them.
func (c *Conn) idleSessions(quiet []quietRead) ([]uint32, bool) {
	sql := []byte("SELECT pid FROM pg_stat_activity WHERE pid IN (")
	for i, q := range quiet {
		if i > 0 {
			sql = append(sql, ", "...)
		}
		sql = strconv.AppendUint(sql, uint64(q.conn.processID), 10)
	}
	sql = append(sql, ") AND state LIKE 'idle%'"...) // in a transaction as well
	var idle []uint32
	ok := c.simpleQuery(encodeQuery(string(sql)), probeTimeout, func(typ byte, body []byte) bool {
		var row pgproto3.DataRow
		if typ != 'D' {
			return true
		}
		if row.Decode(body) != nil || len(row.Values) != 1 {
			return false
		}
		pid, err := strconv.ParseUint(string(row.Values[0]), 10, 32)
		idle = append(idle, uint32(pid))
		return err == nil
	})
	return idle, ok
}

// simpleQuery runs a statement, passes the messages of its answer to see and
// reports whether the target then was idle outside a transaction. It fails when
// see returns false.
func (c *Conn) simpleQuery(query []byte, timeout time.Duration, handle func(typ byte, body []byte) bool) bool {
	if c.SetDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	_ = c.W.Raw(query) // the error sticks to Flush
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
			idle := len(body) == 1 && body[0] == 'I' // body ends with the release
			c.R.Release()
			return idle && c.R.Buffered() == 0 && c.SetDeadline(time.Time{}) == nil
		}
	}
}
