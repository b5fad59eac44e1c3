package target

import "github.com/jackc/pgx/v5/pgproto3"

// simpleQuery runs the statements of one query message. Outside a transaction
// block they are one transaction, committed before the last answer is sent.
func (c *session) simpleQuery(sql string) {
	parts := splitStatements(sql)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, part := range parts {
		if err := c.simpleStatement(part, i == len(parts)-1); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *session) simpleStatement(sql string, last bool) error {
	s, err := parse(sql)
	if err != nil {
		return err
	}
	if len(s.params) > 0 {
		return &sqlError{"42P02", "there is no parameter $1"}
	}
	res, err := c.run(s, nil)
	if err != nil {
		return err
	}
	if last {
		if err := c.endImplicit(); err != nil {
			return err
		}
	}
	if len(s.form.columns) > 0 {
		c.backend.Send(rowDescription(s.form.columns, nil))
		for _, row := range res.rows {
			c.sendRow(s.form.columns, nil, row)
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

// run runs a statement, the copy statements included.
func (c *session) run(s *statement, params []string) (result, error) {
	switch s.form {
	case copyIn:
		return c.copyFrom()
	case copyOut:
		return c.copyTo()
	}
	return c.execute(s, params)
}

// sendRow queues one row. The queue is written at times, so that a large
// result does not stay in memory twice.
func (c *session) sendRow(columns []column, formats []int16, row []string) {
	values := make([][]byte, len(row))
	for i, v := range row {
		values[i] = columns[i].encode(v, formatOf(formats, i))
	}
	c.backend.Send(&pgproto3.DataRow{Values: values})
	c.queued++
	if c.queued%1024 == 0 && c.gate() == nil {
		_ = c.backend.Flush() // a broken connection is found by the next flush
	}
}

func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: oidSize(c.oid), TypeModifier: -1,
			Format: formatOf(formats, i),
		})
	}
	return d
}
