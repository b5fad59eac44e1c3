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
	ranOnce  = invar.New("NonRepeatableRunsAtMostOnce")
	keyValid = invar.New("NothingSentForWithdrawnKey")
	ownKey   = invar.New("RequestRunsForCustomerOfKey")
)

// transaction is the state of one transaction over its attempts.
type transaction struct {
	service  *config.Service
	route    *config.Route
	customer siskin.CustomerID
	deadline time.Time
	hdr      relay.Header
	tried    []siskin.TargetID
	space    [4]siskin.TargetID // first storage of tried
	changed  <-chan struct{}    // closed when the view of the last attempt changes
	attempts int
	// atPrimary says that the last attempt went to the primary.
	atPrimary bool
	maybeRan  bool // an attempt ended without proof that it did not run
	streamed  bool // the batch was sent without being kept
}

// run handles the first message of a transaction and everything up to its end.
// An error ends the session.
func (c *session) run(h frame.Head) error {
	now := c.srv.cfg.Clock.Now()
	c.request = 0
	if err := c.setTransaction(now.Add(MaxDeadline)); err != nil {
		return err
	}
	last, handled, err := c.first(h)
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
	leg, res, f := c.attemptAll(t, last)
	for f == nil && res.Status != 'I' {
		res, f, err = c.nextBatch(leg, &last)
		if err != nil {
			return err
		}
	}
	c.observe(t, now, f)
	if f != nil {
		return c.refuseBatch(f, last)
	}
	leg.Finish()
	return nil
}

// first collects the first batch. It handles the statements that are for this
// program and the errors within the batch itself.
func (c *session) first(h frame.Head) (last byte, handled bool, err error) {
	if h.Type == 'Q' && h.Len <= maxSettingQuery {
		if _, err := c.r.Next(); err != nil {
			return 0, false, err
		}
		body, err := c.r.Body(maxSettingQuery)
		if err != nil {
			return 0, false, err
		}
		if n := len(body); n > 0 {
			if handled, err := c.setting(body[:n-1]); handled || err != nil {
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
	if errors.As(err, &e) && c.endReason() == nil {
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
	t.tried = t.space[:0]
	c.request = c.srv.requests.Add(1)
	t.hdr = relay.Header{
		Service: c.service, Route: route.Name, Customer: customer, Key: c.grant.Key, Floor: c.floor,
		SampleFloor: route.Mode == config.ReadRoute && route.MaxAge == 0 && !c.sampled,
		Request:     c.request,
	}
	return t, nil
}

// attempt sends the first batch once.
func (c *session) attempt(t *transaction, last byte) (relay.Executor, relay.Result, *relay.Failure) {
	leg, f := c.begin(t)
	if f != nil {
		return nil, relay.Result{}, f
	}
	if t.maybeRan && (t.route.Mode != config.ReadRoute || !t.route.Repeatable) {
		ranOnce.Check(false, "request %d of route %s is sent again although it may have run", t.hdr.Request, t.route.Name)
	}
	c.setLeg(leg)
	if err := c.checkKey(); err != nil {
		leg.Abort(nil)
		return nil, relay.Result{}, &relay.Failure{Proof: retry.Unsent, Err: asError(err)}
	}
	if c.grant == (siskin.KeyGrant{}) && !t.route.Open {
		keyValid.Check(false, "request %d on route %s has no key", t.hdr.Request, t.route.Name)
	}
	if !t.route.Open && t.hdr.Customer != c.grant.Customer {
		ownKey.Check(false, "request %d of customer %s came with a key of customer %s", t.hdr.Request, t.hdr.Customer, c.grant.Customer)
	}
	c.stmts.repeat()
	t.streamed = last == 0
	res, f := relay.Exchange(c, leg, c, &c.batch, last)
	c.stmts.endBatchUnless(f)
	return leg, res, f
}

// nextBatch runs a later batch of the transaction.
func (c *session) nextBatch(leg relay.Executor, last *byte) (relay.Result, *relay.Failure, error) {
	c.batch.Reset()
	var err error
	if *last, err = relay.Collect(c, &c.batch); err != nil {
		leg.Abort(nil)
		var e *siskin.Error
		if errors.As(err, &e) && c.endReason() == nil {
			return relay.Result{}, &relay.Failure{Proof: retry.Unknown, Err: e}, nil
		}
		return relay.Result{}, nil, err
	}
	if err := c.checkKey(); err != nil {
		leg.Abort(nil)
		return relay.Result{}, nil, err
	}
	res, f := relay.Exchange(c, leg, c, &c.batch, *last)
	c.stmts.endBatchUnless(nil)
	return res, f, nil
}

// errTorn ends a session without a message: its caller has a part of a message
// and would take an error for the rest.
var errTorn = errors.New("answer ended in the middle of a message")

// refuseBatch tells the caller of a failure, discards the rest of the batch and
// reports ready. An error ends the session.
func (c *session) refuseBatch(f *relay.Failure, last byte) error {
	f.Check()
	c.stmts.endBatchUnless(nil)
	if f.CallerGone || c.endReason() != nil && c.endReason() != errStopping {
		return errors.Join(f.Err, os.ErrClosed)
	}
	if f.Err.Kind == siskin.KeyWithdrawn {
		return f.Err
	}
	c.srv.counts.refused[f.Err.Kind].Add(1)
	c.srv.log.Failed(c.logged(), f.Err, "request failed")
	if c.w.Torn() {
		return errors.Join(c.w.Flush(), errTorn)
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

// discardBatch skips messages up to the end of the batch, as a target does
// after an error.
func (c *session) discardBatch() error {
	c.out = c.out[:0]
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
