package target

import (
	"strings"

	"siskintray.example/siskin/internal/stand/store"
)

// tx is a transaction in progress.
type tx struct {
	explicit bool // begun by BEGIN
	readOnly bool
	failed   bool
	counted  bool // registered with Store.Begin
	ops      []store.Op
}

func (c *session) status() byte {
	switch {
	case c.tx == nil:
		return 'I'
	case c.tx.failed:
		return 'E'
	}
	return 'T'
}

// begin starts a transaction. One of the full account in a slot may write, so
// it is refused as not run while the primary drains.
func (c *session) begin(explicit bool) error {
	t := &tx{explicit: explicit, readOnly: isOn(c.settings["default_transaction_read_only"])}
	if c.full && c.slot >= 0 {
		if err := c.srv.store.Begin(c.srv.clock.Now()); err != nil {
			return err
		}
		t.counted = true
	}
	c.tx = t
	return nil
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}

// endTx drops the transaction and its changes.
func (c *session) endTx() {
	if c.tx != nil && c.tx.counted {
		c.srv.store.End()
	}
	c.tx = nil
}

// abort ends an implicit transaction and marks an explicit one as failed.
func (c *session) abort() {
	if c.tx == nil {
		return
	}
	if !c.tx.explicit {
		c.endTx()
		return
	}
	c.tx.failed, c.tx.ops = true, nil
}

// commit writes the changes of the transaction and ends it.
func (c *session) commit() error {
	t := c.tx
	if t == nil {
		return nil
	}
	defer c.endTx()
	if len(t.ops) == 0 || t.failed {
		return nil
	}
	if c.demoted.Load() {
		return errDemoted
	}
	_, err := c.srv.store.Commit(t.ops)
	if err == nil && c.srv.fault.loseAnswer("COMMIT") {
		c.lose = true
	}
	return err
}

// endImplicit commits the statements outside a transaction block.
func (c *session) endImplicit() error {
	if c.tx == nil || c.tx.explicit {
		return nil
	}
	return c.commit()
}

// get returns the value of key as the transaction sees it.
func (c *session) get(key string) (string, bool) {
	for i := len(c.tx.ops) - 1; i >= 0; i-- {
		if op := c.tx.ops[i]; op.Key == key {
			return op.Value, !op.Delete
		}
	}
	return c.srv.store.Get(key)
}

// table returns the table as the transaction sees it.
func (c *session) table() map[string]string {
	m := c.srv.store.Table()
	for _, op := range c.tx.ops {
		if op.Delete {
			delete(m, op.Key)
		} else {
			m[op.Key] = op.Value
		}
	}
	return m
}

func (c *session) change(op store.Op) { c.tx.ops = append(c.tx.ops, op) }
