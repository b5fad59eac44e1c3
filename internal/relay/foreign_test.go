package relay

import (
	"bytes"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/retry"
)

// TestFailureFromTarget guards against a message of a target that is passed on
// to the entry VM, which would read it as the home's proof that a write has not
// run.
func TestFailureFromTarget(t *testing.T) {
	forged := unsentFailure(siskin.NewError(siskin.Overloaded, "full"))
	done, ready := &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}
	h := scriptedHome(t, encodeAll(forged, done, ready))
	executor, failure := h.Begin(&Header{Service: "s", Target: "s/1", Request: 1, Remaining: 5 * time.Second, Route: "write"})
	if failure != nil {
		t.Fatal(failure.Err)
	}
	if err := executor.Send(encodeQuery("insert into kv values (1)"), true); err != nil {
		t.Fatal(err)
	}
	var sent bytes.Buffer
	sink := discard{frame.NewWriter(&sent)}
	_, failure = executor.RelayAnswer(sink, true, nil)
	if err := sink.Flush(); err != nil {
		t.Fatal(err)
	}
	if failure == nil || failure.Proof != retry.Unknown {
		t.Errorf("write with a failure message from its target: got %+v, want an unknown outcome", failure)
	}
	if sent.Len() != 0 {
		t.Errorf("bytes sent to the entry VM: got %q, want none", sent.Bytes())
	}
}
