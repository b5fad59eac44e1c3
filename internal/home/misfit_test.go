package home

import (
	"strconv"
	"testing"

	"siskintray.example/siskin"
)

// TestFindMisfit guards against answers of other statements that go unnoticed,
// and against own ones that count as foreign.
func TestFindMisfit(t *testing.T) {
	signed := siskin.Answer{Signature: "1.2"}
	done := siskin.Answer{}
	open := siskin.Answer{State: siskin.TxOpen}
	status := siskin.Answer{Rows: []string{"primary 3"}}
	failed := siskin.Answer{Code: siskin.Busy, State: siskin.TxFailed}
	for _, c := range []struct {
		kind   siskin.StatementKind
		before siskin.TxState
		answer siskin.Answer
		want   misfit
	}{
		{siskin.Read, siskin.TxIdle, signed, noMisfit},
		{siskin.Read, siskin.TxIdle, done, unsigned},
		{siskin.Write, siskin.TxOpen, open, unsigned},
		{siskin.Read, siskin.TxOpen, signed, wrongState},
		{siskin.Commit, siskin.TxOpen, signed, noMisfit},
		{siskin.Commit, siskin.TxOpen, done, unsigned},
		{siskin.SetValue, siskin.TxIdle, done, noMisfit},
		{siskin.SetValue, siskin.TxIdle, signed, unexpectedSignature},
		{siskin.SetValue, siskin.TxIdle, open, wrongState},
		{siskin.Begin, siskin.TxIdle, open, noMisfit},
		{siskin.Begin, siskin.TxIdle, done, wrongState},
		{siskin.Rollback, siskin.TxOpen, done, noMisfit},
		{siskin.Rollback, siskin.TxFailed, open, wrongState},
		{siskin.Status, siskin.TxIdle, status, noMisfit},
		{siskin.Status, siskin.TxIdle, done, wrongRows},
		{siskin.BeginRead, siskin.TxIdle, status, wrongState},
		{siskin.Rollback, siskin.TxOpen, status, wrongRows},
		{siskin.Read, siskin.TxIdle, failed, noMisfit},
		{siskin.Read, siskin.TxOpen, failed, noMisfit},
		{siskin.Begin, siskin.TxIdle, siskin.Answer{Code: siskin.ReadOnly}, noMisfit},
	} {
		if got := findMisfit(c.kind, c.before, &c.answer); got != c.want {
			t.Errorf("%s in state %s answered with %+v: got %s, want %s", c.kind, c.before, c.answer, got, c.want)
		}
	}
}

// TestRepeatedSignature guards against a repeated answer that counts as new
// while the connection still remembers its signature.
func TestRepeatedSignature(t *testing.T) {
	var s signatures
	for i := range 3 * keptSignatures {
		if !s.add(strconv.Itoa(i)) {
			t.Fatalf("signature %d: got repeated, want new", i)
		}
		for j := max(0, i-keptSignatures+1); j <= i; j++ {
			if s.add(strconv.Itoa(j)) {
				t.Fatalf("signature %d after %d: got new, want repeated", j, i)
			}
		}
	}
}
