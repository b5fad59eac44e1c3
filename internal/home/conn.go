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
	// unsettled is the refusal of a signed statement that may be a repetition of
	// an earlier answer, or nil; see settle.
	unsettled *siskin.Answer
	// strays is the number of skipped answers.
	strays int
	// witness is the counter of appendWitness.
	witness int
	report  *connReport

	values   map[string]string
	prepared map[string]Prepared
	openedAt time.Time // when it was established
	usedAt   time.Time // end of the last use
	unused   bool      // no statement has been sent yet
}

func newConn(tc siskin.TargetConn, customer siskin.CustomerID, now time.Time) *conn {
	return &conn{
		TargetConn: tc, customer: customer, openedAt: now, usedAt: now, unused: true,
		values: make(map[string]string), prepared: make(map[string]Prepared),
	}
}

// closeFor closes the connection. The target rolls an open transaction back.
func (c *conn) closeFor(reason closeReason) {
	_ = c.Close() // the target rolls back whether or not it sees the close
	c.report.closed(c, reason)
}

// preparedName returns the name of a prepared statement at a target. It depends
// only on the statement's text (its shape) and on whether it writes, so that
// sessions share prepared statements.
func preparedName(p Prepared) string {
	if p.Writes {
		return "w_" + p.Shape
	}
	return "r_" + p.Shape
}

// syncSession returns the statements that set up the session's state on the
// connection, and records that state as set. The connection must be closed when
// one of them fails.
func (c *conn) syncSession(req *Request) []siskin.Statement {
	var list []siskin.Statement
	if c.hasExtraValue(req.Values) {
		list = append(list, siskin.Statement{Kind: siskin.Discard})
		clear(c.values)
		clear(c.prepared)
	}
	if req.Statement.Kind == siskin.Execute {
		name := preparedName(req.Prepared)
		if _, ok := c.prepared[name]; !ok {
			list = append(list, siskin.Statement{Kind: siskin.Prepare, Name: name, Text: req.Prepared.Shape, Writes: req.Prepared.Writes})
			c.prepared[name] = req.Prepared
		}
	}
	for _, v := range req.Values {
		if have, ok := c.values[v.Name]; !ok || have != v.Text {
			list = append(list, siskin.Statement{Kind: siskin.SetValue, Name: v.Name, Text: v.Text})
			c.values[v.Name] = v.Text
		}
	}
	return list
}

// hasExtraValue reports whether the connection holds a value that the session
// does not have.
func (c *conn) hasExtraValue(values []Value) bool {
	if len(c.values) > len(values) {
		return true
	}
	found := 0
	for _, v := range values {
		if _, ok := c.values[v.Name]; ok {
			found++
		}
	}
	return found < len(c.values)
}

// targetStatement returns the caller's statement with the prepared name used at
// the target.
func targetStatement(req *Request) siskin.Statement {
	s := req.Statement
	if s.Kind == siskin.Execute {
		s.Name = preparedName(req.Prepared)
		s.Writes = req.Prepared.Writes
	}
	return s
}
