package plat

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"siskintray.example/siskin"
)

// request makes one request if the circuit breaker and the budgets permit it.
// An error is of kind Unavailable or Overloaded; sent reports whether the
// request may have reached the platform and taken effect.
func (p *LimitedClient) request(ctx context.Context, method, path string, body []byte) (a response, sent bool, err error) {
	c := p.c
	if wait, ok := c.breaker.allow(c.clock.Now()); !ok {
		c.counters.rejected.Add(1)
		return response{}, false, siskin.NewError(siskin.Unavailable, "the platform does not respond").WithRetryAfter(wait).WithRemedy("retry later; cached state remains in use")
	}
	if err := p.takeTokens(ctx, p.c.budgetFor(method)); err != nil {
		c.breaker.record(c.clock.Now(), canceled)
		return response{}, false, err
	}
	a, sent, err = c.attempt(ctx, method, path, body)
	c.breaker.record(c.clock.Now(), classify(ctx, err))
	if err != nil {
		return response{}, sent, siskin.NewError(siskin.Unavailable, "the platform did not respond").WithCause(err).WithRemedy("retry later; cached state remains in use")
	}
	if a.status == http.StatusTooManyRequests {
		c.counters.overBudget.Add(1)
		return response{}, false, siskin.NewError(siskin.Overloaded, "the platform's call budget is used up").WithRetryAfter(a.retryAfter).WithRemedy("retry after the stated time")
	}
	return a, sent, nil
}

// classify returns the outcome of an attempt for the breaker. A canceled call is
// no evidence about the platform; a deadline that passes without a response is
// a failure.
func classify(ctx context.Context, err error) result {
	switch {
	case err == nil:
		return succeeded
	case errors.Is(ctx.Err(), context.Canceled):
		return canceled
	default:
		return failed
	}
}

// budgetFor returns the budget of the process that a request counts against.
func (c *Client) budgetFor(method string) *rate.Limiter {
	if method == http.MethodPut {
		return c.writes
	}
	return c.budget
}

// takeTokens waits for a token of both budgets. It fails at once if the wait
// would exceed the deadline.
func (p *LimitedClient) takeTokens(ctx context.Context, budget *rate.Limiter) error {
	now := p.c.clock.Now()
	ownToken := p.budget.ReserveN(now, 1)
	processToken := budget.ReserveN(now, 1)
	wait := max(ownToken.DelayFrom(now), processToken.DelayFrom(now))
	if wait == 0 {
		return nil
	}
	p.c.counters.throttled.Add(1)
	deadline, ok := ctx.Deadline()
	if (!ok || time.Until(deadline) > wait) && p.c.wait(ctx, wait) {
		return nil
	}
	now = p.c.clock.Now()
	ownToken.CancelAt(now)
	processToken.CancelAt(now)
	return siskin.NewError(siskin.Overloaded, "the call budget is used up").WithRetryAfter(wait).WithRemedy("retry after the stated time or raise the calls or updates a second that the settings allow")
}

// read makes a read-only request, with retries up to maxReadAttempts attempts in
// total.
func (p *LimitedClient) read(ctx context.Context, path string) (response, error) {
	const maxReadAttempts = 4
	for n := 1; ; n++ {
		a, _, err := p.request(ctx, http.MethodGet, path, nil)
		if err == nil || n == maxReadAttempts || p.c.breaker.open() {
			return a, err
		}
		if !p.c.wait(ctx, p.c.delay(err, n)) {
			return response{}, err
		}
		p.c.counters.retries.Add(1)
	}
}

// delay returns the time to wait after the n-th failure: a jittered backoff,
// added to the retry time that the error gives, if any.
func (c *Client) delay(err error, n int) time.Duration {
	d := jitter(c.random, c.cfg.MinBackoff, c.cfg.MaxBackoff, n)
	var e *siskin.Error
	if errors.As(err, &e) {
		d += e.RetryAfter
	}
	return d
}
