package target

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// portal is a bound statement with the rows that are not sent yet.
type portal struct {
	statement *statement
	params    []string
	formats   []int16
	started   bool
	res       result
}

// extended handles one message of the extended protocol.
func (c *session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parseMessage(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describe(msg)
	case *pgproto3.Execute:
		return c.executePortal(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(c.statements, msg.Name)
		} else {
			delete(c.portals, msg.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return &sqlError{stateProtocol, "unexpected message"}
}

func (c *session) parseMessage(msg *pgproto3.Parse) error {
	if _, exists := c.statements[msg.Name]; exists && msg.Name != "" {
		return &sqlError{"42P05", "prepared statement " + msg.Name + " already exists"}
	}
	s, err := parse(msg.Query)
	if err != nil {
		return err
	}
	for i, oid := range msg.ParameterOIDs {
		if i < len(s.params) && oid != 0 {
			s.params[i] = oid
		}
	}
	c.statements[msg.Name] = s
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) bind(msg *pgproto3.Bind) error {
	s, ok := c.statements[msg.PreparedStatement]
	if !ok {
		return &sqlError{stateBadName, "prepared statement " + msg.PreparedStatement + " does not exist"}
	}
	if len(msg.Parameters) != len(s.params) {
		return &sqlError{stateProtocol, "bind message supplies " + strconv.Itoa(len(msg.Parameters)) + " parameters"}
	}
	p := &portal{statement: s, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, value := range msg.Parameters {
		text, err := decodeParam(s.params[i], formatOf(msg.ParameterFormatCodes, i), value)
		if err != nil {
			return err
		}
		p.params = append(p.params, strings.Clone(text))
	}
	c.portals[msg.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(msg *pgproto3.Describe) error {
	var s *statement
	var formats []int16
	if msg.ObjectType == 'S' {
		var ok bool
		if s, ok = c.statements[msg.Name]; !ok {
			return &sqlError{stateBadName, "prepared statement " + msg.Name + " does not exist"}
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.params})
	} else {
		p, ok := c.portals[msg.Name]
		if !ok {
			return &sqlError{stateBadCursor, "portal " + msg.Name + " does not exist"}
		}
		s, formats = p.statement, p.formats
	}
	if s.form == nil || len(s.form.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(s.form.columns, formats))
	return nil
}

// executePortal runs a portal or goes on with one that was suspended by its
// row limit.
func (c *session) executePortal(msg *pgproto3.Execute) error {
	p, ok := c.portals[msg.Portal]
	if !ok {
		return &sqlError{stateBadCursor, "portal " + msg.Portal + " does not exist"}
	}
	if p.statement.form == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.started {
		res, err := c.run(p.statement, p.params)
		if err != nil {
			return err
		}
		p.res, p.started = res, true
	}
	n := len(p.res.rows)
	if limit := int(msg.MaxRows); limit > 0 && limit < n {
		n = limit
	}
	for _, row := range p.res.rows[:n] {
		c.sendRow(p.statement.form.columns, p.formats, row)
	}
	p.res.rows = p.res.rows[n:]
	if len(p.res.rows) > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.res.tag)})
	return nil
}
