package home

import (
	"errors"
	"os"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// unreadTimeout limits the reading of answers that have arrived.
const unreadTimeout = 20 * time.Millisecond

// control sends statements of this VM. Their answers have no signature, and a
// repeated status would make the target look as it was before, so a witness
// follows: with one answer too many in the exchange some answer does not fit.
// The statements must be idempotent, since they are then sent again.
func (c *conn) control(deadline time.Time, list []siskin.Statement) ([]siskin.Answer, error) {
	n := len(list)
	for range witnessAttempts {
		if err := c.discardUnread(); err != nil {
			return nil, err
		}
		before := c.strays
		answers, err := c.exchange(deadline, c.appendWitness(list[:n:n], controlBits))
		if err != nil {
			return nil, err
		}
		if c.strays == before && allSucceeded(answers[n:]) {
			return answers[:n], nil
		}
	}
	return nil, errOutOfStep
}

// allSucceeded reports whether no statement was refused. A refusal fits any
// statement, so among the answers to a witness it may be that of an earlier one.
func allSucceeded(answers []siskin.Answer) bool {
	return !slices.ContainsFunc(answers, func(a siskin.Answer) bool { return a.Code != siskin.Succeeded })
}

// discardUnread reads the answers that came after the one to the last statement.
func (c *conn) discardUnread() error {
	for range maxStrays {
		if !c.Unread() {
			return nil
		}
		_, err := c.Receive(time.Now().Add(unreadTimeout))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errOutOfStep // a part of an answer may have been read
		}
		if err != nil {
			return err
		}
		c.strays++
	}
	return errOutOfStep
}
