package home

import (
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
			return answers, err
		default:
			if a, err = c.Receive(deadline); err != nil {
				return answers, err
			}
		}
		s := &statements[len(answers)]
		if m := c.misfit(s, &a); m != noMisfit {
			c.report.misfit(c, s, &a, m)
			c.skip(&a, m)
			if strays++; strays > maxStrays {
				return answers, errOutOfStep
			}
			continue
		}
		c.state = a.State
		answers = append(answers, a)
		if isSigned(s.Kind) && a.Code != siskin.Succeeded {
			c.unsettled = &answers[len(answers)-1]
		}
	}
	return answers, err
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
// to the signed statement before it, so its refusal was a repetition.
func (c *conn) skip(a *siskin.Answer, m misfit) {
	c.strays++
	if m == unexpectedSignature && c.unsettled != nil {
		*c.unsettled = *a
		c.unsettled = nil
	}
}
