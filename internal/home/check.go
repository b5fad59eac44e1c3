package home

import "siskintray.example/siskin"

// Valid reports whether a request from a peer can be run. A peer of another
// version may send enum values that this version does not have.
func (r *Request) Valid() bool {
	return r.Statement.Kind > siskin.UnknownStatement && r.Statement.Kind <= siskin.Execute &&
		r.Proof >= NoProof && r.Proof <= LeadProof && r.Mode >= Single && r.Mode <= Continue && r.Timeout > 0
}

// Valid reports whether a reply from a peer can be passed on to a caller. One
// without an outcome and a cause is no promise that the statement was not sent.
func (r *Reply) Valid() bool {
	return r.Outcome >= NotSent && r.Outcome <= AnswerLost && r.Cause >= NoCause && int(r.Cause) < len(causes) &&
		(r.Outcome != NotSent || r.Cause != NoCause) &&
		r.Answer.Code >= siskin.Succeeded && r.Answer.Code <= siskin.NoAuth &&
		r.Answer.State >= siskin.TxIdle && r.Answer.State <= siskin.TxFailed
}
