package home

import "siskintray.example/siskin"

// syncSession returns the statements that set up the session's state on the
// connection, and records that state as set. The connection must be closed when
// one of them fails.
func (c *conn) syncSession(req *Request) []siskin.Statement {
	var list []siskin.Statement
	if c.hasExtraValue(req.Values) {
		list = append(list, siskin.Statement{Kind: siskin.Discard})
		clear(c.values)
		clear(c.prepared.names)
	}
	if req.Statement.Kind == siskin.Execute {
		if _, ok := c.prepared.names[req.Prepared]; !ok {
			name := c.prepared.next()
			list = append(list, siskin.Statement{Kind: siskin.Prepare, Name: name, Text: req.Prepared.Shape, Writes: req.Prepared.Writes})
			c.prepared.names[req.Prepared] = name
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
// the target. syncSession must have been called for the request.
func (c *conn) targetStatement(req *Request) siskin.Statement {
	s := req.Statement
	if s.Kind == siskin.Execute {
		s.Name, s.Writes = c.prepared.names[req.Prepared], req.Prepared.Writes
	}
	return s
}
