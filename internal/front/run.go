package front

import (
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/retry"
)

var (
	ranOnce       = invar.New("NonRepeatableRunsAtMostOnce")
	keyValid      = invar.New("NothingSentForWithdrawnKey")
	customerOfKey = invar.New("RequestRunsForCustomerOfKey")
)

// transaction is the state of one transaction across its attempts.
type transaction struct {
	service     *config.Service
	route       *config.Route
	customer    siskin.CustomerID
	deadline    time.Time
	hdr         relay.Header
	tried       []siskin.TargetID
	triedArray  [4]siskin.TargetID // initial backing array of tried
	viewChanged <-chan struct{}    // closed when the view used by the last attempt changes
	attempts    int
	// atPrimary reports that the last attempt used the primary.
	atPrimary bool
	maybeRan  bool // an attempt ended without proof that it did not run
	streamed  bool // no copy of the batch was kept, so it cannot be resent
}

// run handles the first message of a transaction and all later ones up to its
// end. A returned error ends the session.
func (c *session) run(h frame.Header) error {
	now := c.srv.cfg.Clock.Now()
	c.request = 0
	if err := c.setTransaction(now.Add(MaxDeadline)); err != nil {
		return err
	}
	last, handled, err := c.readFirstBatch(h)
	if err != nil || handled {
		return err
	}
	if err := c.checkKey(); err != nil {
		return err
	}
	t, err := c.newTransaction(now)
	if err != nil {
		return c.refuseBatch(&relay.Failure{Proof: retry.Unsent, Err: asError(err)}, last)
	}
	if err := c.setTransaction(t.deadline); err != nil {
		return err
	}
	c.srv.counts.transactions.Add(1)
	c.answer.term = 0
	c.srv.cfg.Budgets.Deposit(t.customer, t.service.Name)
	executor, res, f := c.attemptAll(t, last)
	for f == nil && res.Status != 'I' {
		res, f, err = c.nextBatch(executor, &last)
		if err != nil {
			return err
		}
	}
	c.observe(t, now, f)
	if f != nil {
		return c.refuseBatch(f, last)
	}
	executor.Finish()
	return nil
}

// readFirstBatch collects the first batch. Statements that read or change a
// setting of the proxy, and errors in the batch itself, are handled here.
func (c *session) readFirstBatch(h frame.Header) (last byte, handled bool, err error) {
	if h.Type == 'Q' && h.Len <= maxSettingQuery {
		if _, err := c.r.Next(); err != nil {
			return 0, false, err
		}
		body, err := c.r.Body(maxSettingQuery)
		if err != nil {
			return 0, false, err
		}
		if n := len(body); n > 0 {
			if handled, err := c.handleSetting(body[:n-1]); handled || err != nil {
				return 0, true, err
			}
		}
		head := h.Bytes()
		c.batch.Append(head[:], body)
		c.consumed('Q')
		return 'Q', false, nil
	}
	last, err = relay.Collect(c, &c.batch)
	var e *siskin.Error
	if errors.As(err, &e) && c.endError() == nil {
		return 0, true, c.refuseBatch(&relay.Failure{Proof: retry.Unsent, Err: e}, 0)
	}
	return last, false, err
}

func (c *session) newTransaction(now time.Time) (*transaction, error) {
	service, route, err := c.lookup()
	if err != nil {
		return nil, err
	}
	customer, err := c.customer(route)
	if err != nil {
		return nil, err
	}
	limit := route.Deadline.Std()
	if limit <= 0 || limit > MaxDeadline {
		limit = MaxDeadline
	}
	t := &transaction{service: service, route: route, customer: customer, deadline: now.Add(limit)}
	t.tried = t.triedArray[:0]
	c.request = c.srv.requests.Add(1)
	t.hdr = relay.Header{
		Service: c.service, Route: route.Name, Customer: customer, Key: c.grant.Key, Floor: c.floor,
		SampleFloor: route.Mode == config.ReadRoute && route.MaxAge == 0 && !c.floorKnown,
		Request:     c.request,
	}
	return t, nil
}

// attempt runs the first batch once on a new executor.
func (c *session) attempt(t *transaction, last byte) (relay.Executor, relay.Result, *relay.Failure) {
	executor, f := c.begin(t)
	if f != nil {
		return nil, relay.Result{}, f
	}
	if t.maybeRan && (t.route.Mode != config.ReadRoute || !t.route.Repeatable) {
		ranOnce.Check(false, "request %d of route %s is sent again although it may have run", t.hdr.Request, t.route.Name)
	}
	c.setExecutor(executor)
	if err := c.checkKey(); err != nil {
		executor.Abort(nil)
		return nil, relay.Result{}, &relay.Failure{Proof: retry.Unsent, Err: asError(err)}
	}
	if c.grant == (siskin.KeyGrant{}) && !t.route.Open {
		keyValid.Check(false, "request %d on route %s has no key", t.hdr.Request, t.route.Name)
	}
	if !t.route.Open && t.hdr.Customer != c.grant.Customer {
		customerOfKey.Check(false, "request %d of customer %s came with a key of customer %s", t.hdr.Request, t.hdr.Customer, c.grant.Customer)
	}
	c.stmts.prepareResend()
	t.streamed = last == 0
	res, f := relay.Exchange(c, executor, c, &c.batch, last)
	c.stmts.endBatchUnlessFailed(f)
	return executor, res, f
}

// nextBatch reads and runs a later batch of the transaction.
func (c *session) nextBatch(executor relay.Executor, last *byte) (relay.Result, *relay.Failure, error) {
	c.batch.Reset()
	var err error
	if *last, err = relay.Collect(c, &c.batch); err != nil {
		executor.Abort(nil)
		var e *siskin.Error
		if errors.As(err, &e) && c.endError() == nil {
			return relay.Result{}, &relay.Failure{Proof: retry.Unknown, Err: e}, nil
		}
		return relay.Result{}, nil, err
	}
	if err := c.checkKey(); err != nil {
		executor.Abort(nil)
		return relay.Result{}, nil, err
	}
	res, f := relay.Exchange(c, executor, c, &c.batch, *last)
	c.stmts.endBatchUnlessFailed(nil)
	return res, f, nil
}

// errPartialMessage ends a session without an error message: the caller has
// received part of a message and would read the error as the rest of it.
var errPartialMessage = errors.New("answer ended in the middle of a message")

// refuseBatch reports a failure to the caller, discards the rest of the batch
// and sends ReadyForQuery. A returned error ends the session.
func (c *session) refuseBatch(f *relay.Failure, last byte) error {
	f.Check()
	c.stmts.endBatchUnlessFailed(nil)
	if f.CallerGone || c.endError() != nil && c.endError() != errStopping {
		return errors.Join(f.Err, os.ErrClosed)
	}
	if f.Err.Kind == siskin.KeyWithdrawn {
		return f.Err
	}
	c.srv.counts.refused[f.Err.Kind].Add(1)
	c.srv.log.Failed(c.logRequest(), f.Err, "request failed")
	if c.w.Truncated() {
		return errors.Join(c.w.Flush(), errPartialMessage)
	}
	if err := c.sendFailure(f); err != nil {
		return err
	}
	if err := c.r.Skip(); err != nil {
		return err
	}
	if last == 0 && !endsBatch(c.last) {
		if err := c.discardBatch(); err != nil {
			return err
		}
	}
	return c.ready()
}

func endsBatch(typ byte) bool { return typ == 'Q' || typ == 'F' || typ == 'S' }

func (c *session) sendFailure(f *relay.Failure) error {
	if f.TargetError != nil {
		if err := c.SendMessage('E', f.TargetError); err != nil {
			return err
		}
		return c.w.Flush()
	}
	if err := c.w.Message(relay.ErrorResponse("ERROR", f.Err)); err != nil {
		return err
	}
	return c.w.Flush()
}

// discardBatch skips messages up to the Sync that ends the batch, as PostgreSQL
// does after an error.
func (c *session) discardBatch() error {
	c.rewritten = c.rewritten[:0]
	for {
		h, err := c.r.Next()
		if err != nil {
			return err
		}
		if err := c.r.Skip(); err != nil {
			return err
		}
		if c.last = h.Type; c.last == 'S' {
			return nil
		}
	}
}
