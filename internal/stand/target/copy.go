package target

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/stand/store"
)

var copyEscapes = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)

var copyUnescapes = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")

// copyFrom reads rows of the text format from the client.
func (c *session) copyFrom() (result, error) {
	if err := c.admit(copyIn); err != nil {
		return result{}, err
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0, 0}})
	if err := c.flush(); err != nil {
		return result{}, err
	}
	var data bytes.Buffer
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			c.close()
			return result{}, err
		}
		switch msg := msg.(type) {
		case *pgproto3.CopyData:
			data.Write(msg.Data)
		case *pgproto3.CopyDone:
			return c.copyRows(data.String())
		case *pgproto3.CopyFail:
			return result{}, &sqlError{stateCopyCanceled, "COPY from stdin failed: " + msg.Message}
		case *pgproto3.Flush, *pgproto3.Sync: // ignored during a copy
		default:
			return result{}, &sqlError{stateProtocol, "unexpected message during COPY from stdin"}
		}
	}
}

func (c *session) copyRows(data string) (result, error) {
	n := 0
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(line, "\n")
		if line == `\.` {
			break
		}
		k, v, ok := strings.Cut(line, "\t")
		if !ok {
			return result{}, &sqlError{"22P04", `missing data for column "v"`}
		}
		k, v = copyUnescapes.Replace(k), copyUnescapes.Replace(v)
		if _, exists := c.srv.store.Get(k); exists {
			return result{}, store.ErrDuplicate
		}
		c.change(store.Op{Key: k, Value: v, Insert: true})
		n++
	}
	return result{tag: "COPY " + strconv.Itoa(n)}, nil
}

// copyTo sends the table in the text format.
func (c *session) copyTo() (result, error) {
	if err := c.admit(copyOut); err != nil {
		return result{}, err
	}
	m := c.table()
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0, 0}})
	for _, k := range slices.Sorted(maps.Keys(m)) {
		line := copyEscapes.Replace(k) + "\t" + copyEscapes.Replace(m[k]) + "\n"
		c.backend.Send(&pgproto3.CopyData{Data: []byte(line)})
	}
	c.backend.Send(&pgproto3.CopyDone{})
	return result{tag: "COPY " + strconv.Itoa(len(m))}, nil
}
