package front

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
)

// backoff is the delay between attempts. The base is about the time that a
// group needs to announce a change, and the maximum is short compared with the
// 7 s that a failover may take.
var backoff = retry.Backoff{Base: 10 * time.Millisecond, Max: 200 * time.Millisecond}

// attemptAll sends the first batch until it succeeds, or fails in a way that
// must not be retried.
func (c *session) attemptAll(t *transaction, last byte) (relay.Executor, relay.Result, *relay.Failure) {
	for {
		t.attempts++
		c.answer.answered = false
		executor, res, f := c.attempt(t, last)
		if f == nil {
			c.srv.counts.countServed(t)
		}
		if f == nil || f.CallerGone {
			return executor, res, f
		}
		t.maybeRan = t.maybeRan || !f.Proof.NotRun()
		t.hdr.Admitted = t.hdr.Admitted || f.Admitted
		if !c.mayRetry(t, f) {
			return nil, res, f
		}
		c.srv.log.Trace(c.logRequest(), f.Err, "attempt failed; retrying")
	}
}

// mayRetry decides whether another attempt is made and waits until it is due.
func (c *session) mayRetry(t *transaction, f *relay.Failure) bool {
	if f.Proof.NotRun() && f.Err.Kind != siskin.NotRun {
		return false // a retry would be refused again
	}
	cfg := &c.srv.cfg
	delay := backoff.Delay(t.attempts, rand.Int64N)
	if t.route.Mode == config.ReadRoute && f.Proof == retry.Unsent && t.attempts < len(t.service.Targets) {
		delay = 0 // another target is tried without delay
	}
	if f.Proof == retry.ReportedAbort || f.Proof == retry.Refused {
		// The target refuses writes, and will do so until the group has changed
		// its primary.
		delay += backoff.Max
	}
	verdict := retry.Decide(retry.Attempt{
		Outcome: f.Proof, Mode: t.route.Mode, Repeatable: t.route.Repeatable,
		Answered: c.answer.answered, Replayable: !t.streamed,
		Now: cfg.Clock.Now(), Deadline: t.deadline, Delay: delay,
	})
	if verdict != retry.Retry || c.endError() != nil {
		return false
	}
	if f.Proof.SkipsBudget() {
		// A paused primary refuses each request in progress once. If these
		// retries used the budget, a customer with few requests, whose budget
		// is small, would see some of them fail.
		c.srv.counts.freeRetries.Add(1)
		c.waitForChange(t, delay)
		return true
	}
	if !cfg.Budgets.Withdraw(t.customer, t.service.Name) {
		return false
	}
	c.srv.counts.retries.Add(1)
	c.waitForChange(t, delay)
	return true
}

// waitForChange waits until the view used by the last attempt changes, or the
// delay is over.
func (c *session) waitForChange(t *transaction, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-t.viewChanged:
	case <-c.srv.cfg.Clock.After(delay):
	}
}

// begin picks a target and a slot and begins the transaction at the slot's
// home.
func (c *session) begin(t *transaction) (relay.Executor, *relay.Failure) {
	cfg := &c.srv.cfg
	view, changed, ok := cfg.Topology.View(c.service)
	t.viewChanged = changed
	if !ok {
		return nil, noTargetFailure(t)
	}
	n := requirements{route: t.route, floor: c.floor, dc: cfg.Topology.DataCentre(), tried: t.tried}
	target, ok := pickTarget(t.service, &view, n, rand.IntN)
	if !ok {
		return nil, noTargetFailure(t)
	}
	slot, home, local, ok := pickSlot(cfg.Topology, t.service, target)
	if !ok {
		return nil, noTargetFailure(t)
	}
	t.tried = append(t.tried, target.ID)
	t.hdr.Target, t.hdr.Slot = target.ID, slot
	t.hdr.Remaining = t.deadline.Sub(cfg.Clock.Now())
	t.atPrimary = target.ID == view.Primary
	c.traceAttempt(t, home.ID)
	if local {
		return cfg.Home.Begin(&t.hdr)
	}
	return cfg.Forwarder.Begin(home, &t.hdr)
}

// traceAttempt logs the target and home of an attempt, so that its log lines at
// the home can be found.
func (c *session) traceAttempt(t *transaction, home siskin.VMID) {
	q := c.logRequest()
	q.Customer, q.Target, q.Home = t.customer, t.hdr.Target, home
	c.srv.log.Trace(q, nil, "attempt started")
}

func noTargetFailure(t *transaction) *relay.Failure {
	format := "no target of service %s can serve the read at present"
	if t.route.Mode == config.WriteRoute {
		format = "service %s has no primary at present"
	}
	return &relay.Failure{Proof: retry.Unsent, Err: siskin.NewError(siskin.NotRun, format, t.service.Name).
		WithRemedy("repeat the request").WithRetryAfter(time.Second)}
}
