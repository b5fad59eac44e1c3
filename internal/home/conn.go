package home

import (
	"time"

	"siskintray.example/siskin"
)

// ConnID numbers the connections that a VM has opened to targets, from 1.
type ConnID uint64

// conn is a connection to a target and its session state.
type conn struct {
	siskin.TargetConn
	id        ConnID
	exchanges int // number of exchanges so far
	target    siskin.TargetID
	customer  siskin.CustomerID
	// state is the transaction state after the last answer.
	state      siskin.TxState
	signatures signatures
	// unsettled is the latest refusal that is not settled yet, or nil; see
	// settle.
	unsettled *refusal
	// strays is the number of skipped answers.
	strays int
	// witness is the counter of appendWitness.
	witness int
	report  *connReport

	values   map[string]string
	prepared preparedNames
	// uncertain is set when values may not be what the target has.
	uncertain bool
	openedAt  time.Time // when it was established
	usedAt    time.Time // end of the last use
	unused    bool      // no statement has been sent yet
}

func newConn(tc siskin.TargetConn, customer siskin.CustomerID, now time.Time) *conn {
	return &conn{
		TargetConn: tc, customer: customer, openedAt: now, usedAt: now, unused: true,
		values: make(map[string]string), prepared: newPreparedNames(),
	}
}

// closeFor closes the connection. The target rolls an open transaction back.
func (c *conn) closeFor(reason closeReason) {
	_ = c.Close() // the target rolls back whether or not it sees the close
	c.report.closed(c, reason)
}
