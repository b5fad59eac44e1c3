package pool

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Probes of idle connections are evidence for a connection in use only if an
// idle one from before the fault is left, and if no connection opened just
// after the fault is mistaken for an old one that still answers. Therefore the
// pool also asks the target whether it still runs the statements of quiet
// connections, which are those that have received nothing for some time. If the
// target waits for the next statement on such a connection and nothing arrives
// there, the statement or its answer was lost.

const (
	// sessionCheckAfter is the wait for an answer before a session check, and
	// the time between two checks of a slot and account.
	sessionCheckAfter = time.Second
	// answerTransitTime is the time for an answer to arrive after the target
	// reported that the session is idle.
	answerTransitTime = 400 * time.Millisecond
)

// quietRead is a read that has received nothing for some time.
type quietRead struct {
	conn  *Conn
	since int64 // as in Conn.readingSince
}

// checkQuiet asks the target about quiet connections in use, over an idle
// connection of the same account, which can see the state of their sessions.
// The caller holds mu.
func (s *slot) checkQuiet(now time.Time) {
	if s.cfg.Stateless {
		return // another VM does not report the state of sessions
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
		// The newest connection is the most likely to have been opened after a
		// fault.
		c := slices.MaxFunc(idle, func(a, b *Conn) int { return a.openedAt.Compare(b.openedAt) })
		s.idle[account] = slices.DeleteFunc(idle, func(other *Conn) bool { return other == c })
		c.state = connProbing
		s.pool.start(s.pool.probers, func() { s.checkSessions(c, quiet) })
	}
}

// quietReads returns the reads of an account that have waited for at least
// sessionCheckAfter. The caller holds mu.
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

// checkSessions finds the connections for which the target has no statement in
// progress.
func (s *slot) checkSessions(c *Conn, quiet []quietRead) {
	defer s.closeAfterPanic(c)
	sent := s.pool.clock.Now()
	heardAt, idleSince := c.lastRead(), c.idleSince
	idle, ok := c.idleSessions(quiet)
	if !ok {
		s.closeSilent(c, heardAt, sent)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastCheck[c.account] = time.Time{} // allow an immediate check on another connection
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

// abortLost aborts the reads on connections for which the target has no
// statement in progress, unless the read ended in the meantime. The caller
// holds mu.
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

// idleSessions returns the process IDs of the sessions that wait for a
// statement. It reports false if the connection cannot be used anymore, also
// after the answer to another statement. If the target rejects the query, no
// session is returned.
func (c *Conn) idleSessions(quiet []quietRead) ([]uint32, bool) {
	sql := []byte("SELECT pid FROM pg_stat_activity WHERE pid IN (")
	for i, q := range quiet {
		if i > 0 {
			sql = append(sql, ", "...)
		}
		sql = strconv.AppendUint(sql, uint64(q.conn.processID), 10)
	}
	sql = append(sql, ") AND state LIKE 'idle%'"...) // includes "idle in transaction"
	var idle []uint32
	answered := 0
	ok := c.simpleQuery(encodeQuery(string(sql)), probeTimeout, func(typ byte, body []byte) bool {
		var row pgproto3.DataRow
		switch typ {
		case 'C':
			answered++
			return bytes.HasPrefix(body, []byte("SELECT "))
		case 'E':
			answered++
			return true
		case 'T', 'Z':
			return true
		case 'D':
		default:
			return isAsync(typ)
		}
		if row.Decode(body) != nil || len(row.Values) != 1 {
			return false
		}
		pid, err := strconv.ParseUint(string(row.Values[0]), 10, 32)
		idle = append(idle, uint32(pid))
		return err == nil
	})
	return idle, ok && answered == 1
}
