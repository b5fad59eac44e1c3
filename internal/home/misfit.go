package home

import "siskintray.example/siskin"

// misfit is a reason why an answer cannot belong to the statement that is next
// in order on its connection.
type misfit int

const (
	noMisfit misfit = iota
	// unsigned is the success of a read, write or commit without a signature.
	unsigned
	// unexpectedSignature is a signature for a statement that has none.
	unexpectedSignature
	// repeatedSignature is one that the connection has had before.
	repeatedSignature
	// wrongState is a transaction state that the statement cannot lead to.
	wrongState
	// wrongRows are rows for a statement that returns none, or a status without
	// its row.
	wrongRows
)

var misfits = [...]string{"None", "Unsigned", "UnexpectedSignature", "RepeatedSignature", "WrongState", "WrongRows"}

// String returns the name used in logs and metrics.
func (m misfit) String() string {
	if m < 0 || int(m) >= len(misfits) {
		return "None"
	}
	return misfits[m]
}

// isSigned reports whether targets sign the successful answer to a kind of
// statement.
func isSigned(k siskin.StatementKind) bool {
	switch k {
	case siskin.Read, siskin.Write, siskin.Execute, siskin.Commit:
		return true
	default:
		return false
	}
}

// isControl reports whether a kind of statement returns the status of the
// target as its only row.
func isControl(k siskin.StatementKind) bool {
	switch k {
	case siskin.Status, siskin.Pause, siskin.Unpause, siskin.StepDown:
		return true
	default:
		return false
	}
}

// stateAfter returns the transaction state after the success of a statement.
func stateAfter(k siskin.StatementKind, before siskin.TxState) siskin.TxState {
	switch k {
	case siskin.Begin, siskin.BeginRead:
		return siskin.TxOpen
	case siskin.Commit, siskin.Rollback, siskin.Discard:
		return siskin.TxIdle
	default:
		return before
	}
}

// findMisfit compares an answer with what the statement can lead to in the
// given transaction state. It does not see whether a signature is repeated.
func findMisfit(k siskin.StatementKind, before siskin.TxState, a *siskin.Answer) misfit {
	switch {
	case a.Code != siskin.Succeeded:
		return noMisfit
	case isSigned(k) && a.Signature == "":
		return unsigned
	case !isSigned(k) && a.Signature != "":
		return unexpectedSignature
	case a.State != stateAfter(k, before):
		return wrongState
	case isControl(k) && len(a.Rows) != 1, !isControl(k) && !isSigned(k) && len(a.Rows) > 0:
		return wrongRows
	}
	return noMisfit
}
