package front

import (
	"regexp"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/token"
)

// maxSettingQuery is the longest query, in bytes, that is matched against the
// patterns.
const maxSettingQuery = 256

var (
	setPattern  = regexp.MustCompile(`(?i)^\s*SET\s+siskintray\.(route|token)\s*(?:=|\sTO\s)\s*'([^'\\]*)'\s*;?\s*$`)
	showPattern = regexp.MustCompile(`(?i)^\s*SHOW\s+siskintray\.(route|token)\s*;?\s*$`)
)

// mayBeSetting reports whether the query starts like SET or SHOW. Other queries
// are not matched against the patterns, which is slower.
func mayBeSetting(sql []byte) bool {
	for len(sql) > 0 && (sql[0] == ' ' || sql[0] == '\n' || sql[0] == '\t' || sql[0] == '\r') {
		sql = sql[1:]
	}
	return len(sql) > 4 && sql[0]|0x20 == 's' && (sql[1]|0x20 == 'e' || sql[1]|0x20 == 'h')
}

// handleSetting handles a query that reads or changes a setting of the proxy.
// It returns false for any other query.
func (c *session) handleSetting(sql []byte) (bool, error) {
	if !mayBeSetting(sql) {
		return false, nil
	}
	if m := setPattern.FindSubmatch(sql); m != nil {
		if err := c.changeSetting(m[1][0]|0x20 == 'r', string(m[2])); err != nil {
			return true, c.refuseSetting(err)
		}
		return true, c.answerSetting("SET", nil)
	}
	if m := showPattern.FindSubmatch(sql); m != nil {
		value := string(c.route)
		if m[1][0]|0x20 == 't' {
			value = ""
			if c.floorKnown {
				value = c.srv.cfg.Tokens.Encode(token.Token{Service: c.service, Position: c.floor})
			}
		}
		return true, c.answerSetting("SHOW", []byte(value))
	}
	return false, nil
}

func (c *session) changeSetting(isRoute bool, value string) error {
	if !isRoute {
		return c.setToken(value)
	}
	old := c.route
	c.route = siskin.RouteName(value)
	_, r, err := c.lookup()
	if err == nil {
		_, err = c.customer(r)
	}
	if err != nil {
		c.route = old
	}
	return err
}

func (c *session) refuseSetting(err error) error {
	e := asError(err)
	c.srv.counts.refused[e.Kind].Add(1)
	if err := c.w.Message(relay.ErrorResponse("ERROR", e)); err != nil {
		return err
	}
	return c.ready()
}

// answerSetting sends the answer of SET, or that of SHOW with its value.
func (c *session) answerSetting(tag string, value []byte) error {
	msgs := []frame.Message{&pgproto3.CommandComplete{CommandTag: []byte(tag)}}
	if value != nil {
		msgs = []frame.Message{
			&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
				Name: []byte("setting"), DataTypeOID: pgtype.TextOID, DataTypeSize: -1, TypeModifier: -1,
			}}},
			&pgproto3.DataRow{Values: [][]byte{value}},
			msgs[0],
		}
	}
	for _, m := range msgs {
		if err := c.w.Message(m); err != nil {
			return err
		}
	}
	return c.ready()
}
