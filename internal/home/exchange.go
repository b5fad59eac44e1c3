package home

import (
	"time"

	"siskintray.example/siskin"
)

// exchange sends statements and returns their answers. Answers that cannot
// belong to their statements are counted and logged.
func (c *conn) exchange(deadline time.Time, statements []siskin.Statement) ([]siskin.Answer, error) {
	c.exchanges++
	answers, err := c.Exchange(deadline, statements)
	for i := range answers {
		a := &answers[i]
		m := findMisfit(statements[i].Kind, c.state, a)
		if a.Signature != "" && !c.signatures.add(a.Signature) && m == noMisfit {
			m = repeatedSignature
		}
		c.state = a.State
		if m != noMisfit {
			c.report.misfit(c, &statements[i], a, m)
		}
	}
	return answers, err
}
