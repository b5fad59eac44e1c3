package target

import (
	"strconv"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// statusColumns are the columns of siskin_status and of the functions that
// return the status after a change.
var statusColumns = []column{
	{"id", oidText},
	{"role", oidText},
	{"claimed_term", oidInt8},
	{"claimed_by", oidText},
	{"stream_term", oidInt8},
	{"last_term", oidInt8},
	{"received_lsn", oidText},
	{"applied_lsn", oidText},
	{"heard_primary_ms", oidInt8},
	{"leaving", oidText},
	{"draining", oidText},
	{"running", oidInt8},
}

// claimColumns has one column more: whether this call set the claimed term.
var claimColumns = append([]column{{"granted", oidText}}, statusColumns...)

func statusRow(st siskin.TargetStatus) []string {
	n := func(v uint64) string { return strconv.FormatUint(v, 10) }
	return []string{
		string(st.ID), st.Role.String(), n(uint64(st.ClaimedTerm)), string(st.ClaimedBy),
		n(uint64(st.StreamTerm)), n(uint64(st.LastTerm)), st.Received.String(), st.Applied.String(),
		n(uint64(st.HeardPrimary.Milliseconds())), strconv.FormatBool(st.Leaving),
		strconv.FormatBool(st.Draining), n(uint64(st.Running)),
	}
}

func runStatus(c *session, _ []string) (result, error) {
	return rows([][]string{statusRow(c.srv.store.Status(c.srv.clock.Now()))})
}

func runWait(c *session, args []string) (result, error) {
	term, err1 := strconv.ParseUint(args[0], 10, 64)
	ms, err2 := strconv.ParseUint(args[2], 10, 31)
	lsn, err := siskin.ParseLSN(args[1])
	if err != nil || err1 != nil || err2 != nil {
		return result{}, badLSN(err)
	}
	deadline := c.srv.clock.After(time.Duration(ms) * time.Millisecond)
	pos := siskin.Position{Term: siskin.Term(term), LSN: lsn}
	for {
		changed := c.srv.store.Changed()
		if c.srv.store.Reached(pos) {
			return runStatus(c, nil)
		}
		select {
		case <-changed:
		case <-deadline:
			return runStatus(c, nil)
		case <-c.ctx.Done():
			return result{}, waitCanceled()
		}
	}
}

func runClaim(c *session, args []string) (result, error) {
	term, err := strconv.ParseUint(args[0], 10, 63)
	if err != nil {
		return result{}, &sqlError{stateBadText, "term is no number"}
	}
	st, granted := c.srv.store.Claim(c.srv.clock.Now(), siskin.Term(term), siskin.VMID(args[1]), uint64(c.id))
	c.lose = c.srv.fault.loseAnswer("siskin_claim")
	return rows([][]string{append([]string{strconv.FormatBool(granted)}, statusRow(st)...)})
}

func runPromote(c *session, _ []string) (result, error) {
	st, err := c.srv.store.Promote(c.srv.clock.Now(), uint64(c.id))
	if err != nil {
		return result{}, err
	}
	c.lose = c.srv.fault.loseAnswer("pg_promote")
	return rows([][]string{statusRow(st)})
}

func runDrain(c *session, args []string) (result, error) {
	ms, err := strconv.ParseUint(args[0], 10, 31)
	if err != nil {
		return result{}, &sqlError{stateBadText, "duration is no number"}
	}
	now := c.srv.clock.Now()
	st := c.srv.store.Drain(now, now.Add(time.Duration(ms)*time.Millisecond))
	return rows([][]string{statusRow(st)})
}

func runFollow(c *session, args []string) (result, error) {
	term, err := strconv.ParseUint(args[2], 10, 63)
	if err != nil {
		return result{}, &sqlError{stateBadText, "term is no number"}
	}
	leader := store.Leader{ID: siskin.TargetID(args[0]), Address: args[1], Term: siskin.Term(term)}
	demoted, err := c.srv.store.Follow(c.srv.clock.Now(), leader)
	if err != nil {
		return result{}, err
	}
	if demoted {
		c.srv.eachSession(func(other *session) {
			other.demoted.Store(true)
		})
	}
	return runStatus(c, nil)
}

func runPosition(c *session, _ []string) (result, error) {
	if c.demoted.Load() {
		return result{}, errDemoted
	}
	pos, err := c.srv.store.Position()
	if err != nil {
		return result{}, err
	}
	return rows([][]string{{strconv.FormatUint(uint64(pos.Term), 10), pos.LSN.String()}})
}

func runCurrentLSN(c *session, _ []string) (result, error) {
	pos, err := c.srv.store.Position()
	if err != nil {
		return result{}, err
	}
	return rows([][]string{{pos.LSN.String()}})
}

func runReplayLSN(c *session, _ []string) (result, error) {
	return rows([][]string{{c.srv.store.Status(c.srv.clock.Now()).Applied.String()}})
}
