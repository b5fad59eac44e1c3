package home

import (
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
)

// maxStrays is the number of answers of earlier statements that are skipped in
// one exchange before the connection is given up.
const maxStrays = 32

// errOutOfStep means that the answers on a connection cannot be matched to its
// statements.
var errOutOfStep = siskin.NewError(siskin.Unavailable, "the answers on the connection do not match its statements").WithRemedy("open another connection")

// exchange sends statements and returns their answers. Targets may repeat an
// answer late, and answers carry no id, so an answer that cannot belong to the
// statement that is next is taken for a repetition and skipped. That leaves two
// kinds in doubt: refusals, which settle resolves, and unsigned successes, which
// look alike. The first signed answer with a new signature that follows shows
// that all unsigned statements before it were answered.
func (c *conn) exchange(deadline time.Time, statements []siskin.Statement) ([]siskin.Answer, error) {
	c.exchanges++
	received, err := c.Exchange(deadline, statements)
	// The capacity is fixed, since unsettled points into the list.
	answers := make([]siskin.Answer, 0, len(statements))
	for strays := 0; len(answers) < len(statements); {
		var a siskin.Answer
		switch {
		case len(received) > 0:
			a, received = received[0], received[1:]
		case err != nil:
			return answers, waitError(err, strays)
		default:
			if a, err = c.Receive(deadline); err != nil {
				return answers, waitError(err, strays)
			}
		}
		s := &statements[len(answers)]
		if m := c.misfit(s, &a); m != noMisfit {
			c.report.misfit(c, s, &a, m)
			if strays++; strays > maxStrays || !c.skip(&a, m) {
				return answers, errOutOfStep
			}
			continue
		}
		before := c.state
		c.state = a.State
		answers = append(answers, a)
		switch {
		case a.Code == siskin.Succeeded:
		case before == siskin.TxOpen && a.State == siskin.TxIdle && s.Kind != siskin.Commit && s.Kind != siskin.Rollback:
			// The refusal of a statement fails its transaction and does not
			// end it, so this one is from outside of it.
			return answers[:len(answers)-1], errOutOfStep
		case isSigned(s.Kind):
			c.unsettled = &refusal{answer: &answers[len(answers)-1], kind: s.Kind, before: before}
		}
	}
	return answers, err
}

// waitError returns the error of an exchange whose next answer did not come. After
// stray answers a timeout does not show that the target is silent.
func waitError(err error, strays int) error {
	if strays > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return errOutOfStep
	}
	return err
}

// refusal is the refusal of a signed statement that may be a repetition of an
// earlier answer.
type refusal struct {
	answer *siskin.Answer
	kind   siskin.StatementKind
	before siskin.TxState
}

// misfit reports why an answer cannot be that of the statement s, and remembers
// its signature.
func (c *conn) misfit(s *siskin.Statement, a *siskin.Answer) misfit {
	if a.Signature != "" && !c.signatures.add(a.Signature) {
		return repeatedSignature
	}
	return findMisfit(s.Kind, c.state, a)
}

// skip drops an answer of an earlier statement. A new signature can only belong
// to the signed statement before it, so its refusal was a repetition. The result
// is false if that statement ran in another state than it was sent in, such as
// outside of a transaction whose BEGIN was refused.
func (c *conn) skip(a *siskin.Answer, m misfit) bool {
	c.strays++
	r := c.unsettled
	if m != unexpectedSignature || r == nil {
		return true
	}
	c.unsettled = nil
	*r.answer = *a
	return findMisfit(r.kind, r.before, a) == noMisfit
}
