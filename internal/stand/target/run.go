package target

import (
	"context"

	"siskintray.example/siskin"
)

// execute runs one statement with its arguments and returns its result.
func (c *session) execute(s *statement, params []string) (result, error) {
	args, err := s.arguments(params)
	if err != nil {
		return result{}, err
	}
	if err := c.admit(s.form); err != nil {
		return result{}, err
	}
	c.srv.stats.statement()
	ctx, cancel := context.WithCancel(c.ctx)
	c.statement.Store(&cancel)
	outer := c.ctx
	c.ctx = ctx
	defer func() {
		c.ctx = outer
		c.statement.Store(nil)
		cancel()
	}()
	return s.form.run(c, args)
}

// admit checks the privileges of a statement and begins its transaction.
func (c *session) admit(f *form) error {
	if c.tx != nil && c.tx.failed && !endsTx(f) {
		return &sqlError{stateAborted, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	if f.privileged && !c.full {
		return &sqlError{statePrivilege, "permission denied for function"}
	}
	if f.control {
		return nil
	}
	if c.tx == nil {
		if err := c.begin(false); err != nil {
			return err
		}
	}
	if !f.write {
		return nil
	}
	if !c.full {
		return &sqlError{statePrivilege, "permission denied for table kv"}
	}
	if c.tx.readOnly {
		return &sqlError{stateReadOnly, "cannot execute a write in a read-only transaction"}
	}
	if c.demoted.Load() {
		return errDemoted
	}
	return c.srv.store.Writable()
}

func endsTx(f *form) bool {
	return f == forms[1] || f == forms[2]
}

// waitCanceled reports why a statement that waited was ended.
func waitCanceled() error {
	return &sqlError{stateCanceled, "canceling statement due to user request"}
}

func badLSN(err error) error {
	return siskin.NewError(siskin.BadInput, "log position").WithRemedy("write it like 0/16B3748").WithCause(err)
}
