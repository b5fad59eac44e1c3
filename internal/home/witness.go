package home

import (
	"time"

	"siskintray.example/siskin"
)

// witnessAttempts is the number of times that a witness is sent when answers of
// earlier statements come in between.
const witnessAttempts = 3

// Numbers of bits in a witness; see appendWitness.
const (
	settleBits  = 4
	controlBits = 3
	setupBits   = 3
)

// witnessName is the name of the prepared statement in a witness. It exists only
// between two statements of a witness.
const witnessName = "w"

// settle finds out whether the last refusal is the answer to its statement or a
// repetition of an earlier one, so that the statement is still to be answered.
// In the second case the refusal is replaced by the answer. The connection must
// be closed if the result is an error.
func (c *conn) settle(deadline time.Time) error {
	if c.unsettled == nil {
		return nil
	}
	for range witnessAttempts {
		var list []siskin.Statement
		if c.state != siskin.TxIdle {
			list = append(list, siskin.Statement{Kind: siskin.Rollback})
		}
		before := c.strays
		answers, err := c.exchange(deadline, c.appendWitness(list, settleBits))
		if err != nil {
			return err
		}
		if !allSucceeded(answers) {
			return errOutOfStep
		}
		if c.strays == before {
			c.unsettled = nil
		}
		if c.unsettled == nil {
			return nil
		}
	}
	return errOutOfStep
}

// appendWitness appends statements without effect, whose answers show that all
// earlier statements have been answered. They occupy no slot at the target. Each
// bit of a counter becomes two of them, an empty transaction for 0 and a name
// that is prepared and dropped for 1, whose answers differ in the transaction
// state. So repeated answers to an earlier witness do not fit a later one.
func (c *conn) appendWitness(list []siskin.Statement, bits int) []siskin.Statement {
	// Equal bits alone are left out: their answers fit again after one or two
	// of them.
	c.witness = c.witness%(1<<bits-2) + 1
	for i := range bits {
		if c.witness>>i&1 == 0 {
			list = append(list, siskin.Statement{Kind: siskin.BeginRead}, siskin.Statement{Kind: siskin.Rollback})
		} else {
			list = appendPreparation(list)
		}
	}
	return list
}

// appendPreparation appends the preparation of a name and its removal.
func appendPreparation(list []siskin.Statement) []siskin.Statement {
	return append(list, siskin.Statement{Kind: siskin.Prepare, Name: witnessName, Text: witnessName},
		siskin.Statement{Kind: siskin.Deallocate, Name: witnessName})
}
