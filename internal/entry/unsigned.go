package entry

import "siskintray.example/siskin"

// refuseUnsigned replaces a success without a signature. Targets sign each
// successful read, write and commit, so it answers another statement.
func (o *operation) refuseUnsigned() *siskin.Answer {
	s := o.s
	o.reason = "Unsigned"
	switch {
	case s.tx != nil:
		return s.fail(siskin.Aborted, "a statement of the transaction has no signed answer; run it again")
	case o.st.Kind == siskin.Commit, o.st.MayWrite():
		return s.refuse(siskin.InDoubt, "the answer of the target has no signature; check whether the statement took effect")
	default:
		return s.refuse(siskin.Failed, "the answer of the target has no signature; read again")
	}
}
