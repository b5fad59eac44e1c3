package home

import "siskintray.example/siskin"

// syncSession returns the statements that set up the session's state on the
// connection. The connection must be closed when one of them is refused or its
// answer is lost, and applied must be called for those that were accepted.
func (c *conn) syncSession(req *Request) []siskin.Statement {
	var list []siskin.Statement
	discard := c.uncertain || c.hasExtraValue(req.Values)
	if discard {
		list = append(list, siskin.Statement{Kind: siskin.Discard})
	}
	if req.Statement.Kind == siskin.Execute {
		list = append(list, c.prepare(req.Prepared, discard)...)
	}
	for _, v := range req.Values {
		if have, ok := c.values[v.Name]; !ok || have != v.Text || discard {
			list = append(list, siskin.Statement{Kind: siskin.SetValue, Name: v.Name, Text: v.Text})
		}
	}
	return list
}

// prepare returns the statements that prepare p, unless it is prepared already
// and not discarded before.
func (c *conn) prepare(p Prepared, discarded bool) []siskin.Statement {
	var list []siskin.Statement
	if !discarded {
		if c.prepared.use(p) {
			return nil
		}
		for _, name := range c.prepared.surplus(p) {
			list = append(list, siskin.Statement{Kind: siskin.Deallocate, Name: name})
		}
	}
	return append(list, siskin.Statement{Kind: siskin.Prepare, Name: c.prepared.next(), Text: p.Shape, Writes: p.Writes})
}

// applied records that the target has accepted the first n statements of a
// setup.
func (c *conn) applied(setup []siskin.Statement, n int) {
	for i := range setup[:n] {
		switch s := &setup[i]; s.Kind {
		case siskin.Discard:
			c.uncertain = false
			clear(c.values)
			c.prepared.forget()
		case siskin.Prepare:
			c.prepared.add(Prepared{Shape: s.Text, Writes: s.Writes}, s.Name)
		case siskin.Deallocate:
			c.prepared.remove(s.Name)
		case siskin.SetValue:
			c.values[s.Name] = s.Text
		}
	}
}

// countAccepted returns the number of answers of a setup of n statements that
// come before the first refusal or lost answer.
func countAccepted(answers []siskin.Answer, n int) int {
	n = min(n, len(answers))
	for i := range answers[:n] {
		if answers[i].Code != siskin.Succeeded {
			return i
		}
	}
	return n
}

// changesValues reports whether a setup changes values. A refused PREPARE keeps
// the execution pipelined after it from running, since its name is new on the
// connection; a refused SET or DISCARD does not.
func changesValues(setup []siskin.Statement) bool {
	for i := range setup {
		if k := setup[i].Kind; k == siskin.SetValue || k == siskin.Discard {
			return true
		}
	}
	return false
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
// the target. setup is what is sent before it and not yet applied.
func (c *conn) targetStatement(req *Request, setup []siskin.Statement) siskin.Statement {
	s := req.Statement
	if s.Kind != siskin.Execute {
		return s
	}
	s.Name, s.Writes = c.prepared.names[req.Prepared].name, req.Prepared.Writes
	for i := range setup {
		if setup[i].Kind == siskin.Prepare {
			s.Name = setup[i].Name
		}
	}
	return s
}
