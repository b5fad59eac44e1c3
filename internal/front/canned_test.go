package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/pool"
)

// cannedTarget answers every query with prepared bytes and without allocating,
// so that a benchmark measures the proxy alone.
type cannedTarget struct {
	rows      int
	truncated bool // the connection ends in the middle of the last row
}

// Dial implements pool.Dialer.
func (d cannedTarget) Dial(context.Context, pool.Key, pool.SlotConfig, pool.Account) (pool.DialedConn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return pool.DialedConn{}, err
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return pool.DialedConn{}, err
	}
	server, err := l.Accept()
	go d.serve(server)
	return pool.DialedConn{Conn: client}, err
}

// Cancel implements pool.Dialer.
func (cannedTarget) Cancel(context.Context, string, uint32, []byte) error { return nil }

func encode(msgs ...frame.Message) []byte {
	var b []byte
	for _, m := range msgs {
		b, _ = m.Encode(b)
	}
	return b
}

func (d cannedTarget) serve(conn net.Conn) {
	defer conn.Close()
	done := encode(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	reset := encode(&pgproto3.CommandComplete{CommandTag: []byte("DISCARD ALL")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	probed := encode(&pgproto3.EmptyQueryResponse{}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	row := encode(&pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte("x"), 100)}})
	position := append(encode(&pgproto3.DataRow{Values: [][]byte{[]byte("1"), []byte("0/1")}}), done...)
	r, w := frame.NewReader(conn), frame.NewWriter(conn)
	for {
		if r.Buffered() == 0 && w.Flush() != nil {
			return
		}
		if _, err := r.Next(); err != nil {
			return
		}
		body, err := r.Body(frame.BufferSize)
		if err != nil {
			return
		}
		switch {
		case bytes.Contains(body, []byte("siskin_commit_position")):
			_ = w.Raw(position)
			continue
		case bytes.HasPrefix(body, []byte("DISCARD ALL")):
			_ = w.Raw(reset)
			continue
		case len(body) == 1:
			_ = w.Raw(probed)
			continue
		case bytes.HasPrefix(body, []byte("select")):
			for range d.rows {
				_ = w.Raw(row)
			}
			if d.truncated {
				_, _ = w.Raw(row[:len(row)/2]), w.Flush()
				return
			}
		}
		_ = w.Raw(done)
	}
}

// benchQuery is the request of the benchmarks.
var benchQuery = encode(&pgproto3.Query{String: "select v from kv where k = 'a'"})

func readAnswer(r *frame.Reader) error {
	for {
		h, err := r.Next()
		if err != nil {
			return err
		}
		if err := r.Skip(); err != nil || h.Type == 'Z' {
			return err
		}
		if h.Type == 'E' {
			return io.ErrUnexpectedEOF
		}
	}
}

// benchClient logs in and returns the connection with a frame reader.
func (vm *testVM) benchClient(tb testing.TB, route string) (net.Conn, *frame.Reader) {
	c := vm.connectRaw(tb, "badges/"+route)
	_ = c.conn.SetDeadline(time.Time{})
	return c.conn, frame.NewReader(c.conn)
}

// statementRunner returns a function that runs one statement against a canned
// target.
func statementRunner(tb testing.TB, route string, forwarded bool, rows int) func() {
	vms := 1
	if forwarded {
		vms = 2
	}
	f := startFleet(tb, vms, nil)
	// With two VMs the second one owns no slot and forwards every transaction.
	f.firstOwnsAll.Store(true)
	f.dialCanned(cannedTarget{rows: rows})
	conn, r := f.vms[vms-1].benchClient(tb, route)
	run := func() {
		if _, err := conn.Write(benchQuery); err != nil {
			tb.Fatal(err)
		}
		if err := readAnswer(r); err != nil {
			tb.Fatal(err)
		}
	}
	for range 100 {
		run()
	}
	return run
}
