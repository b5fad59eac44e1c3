package relay

import (
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
)

// TestRepeatedBeginAnswer guards against a write that ran and is reported as not
// run: the second answer to an earlier BEGIN counted as that to the write, and the
// answer to the write as the refusal of the position query.
func TestRepeatedBeginAnswer(t *testing.T) {
	tag := func(s string) *pgproto3.CommandComplete { return &pgproto3.CommandComplete{CommandTag: []byte(s)} }
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	h := scriptedHome(t, encodeAll(
		tag("BEGIN"), &pgproto3.ReadyForQuery{TxStatus: 'T'},
		tag("INSERT 0 1"), ready,
		&pgproto3.DataRow{Values: [][]byte{[]byte("1"), []byte("0/10")}}, tag("SELECT 1"), ready,
	))
	executor, failure := h.Begin(&Header{Service: "s", Target: "s/1", Request: 1, Remaining: 5 * time.Second, Route: "write"})
	if failure != nil {
		t.Fatal(failure.Err)
	}
	if err := executor.Send(encodeQuery("insert into kv values ('a', 'x')"), true); err != nil {
		t.Fatal(err)
	}
	res, failure := executor.RelayAnswer(discard{frame.NewWriter(io.Discard)}, true, nil)
	if failure == nil {
		executor.Abort(nil)
		t.Fatalf("got status %q, want an unknown outcome", res.Status)
	}
	if failure.Err.Kind != siskin.OutcomeUnknown || failure.Proof.NotRun() {
		t.Errorf("got %v with proof %d, want an unknown outcome", failure.Err, failure.Proof)
	}
}
