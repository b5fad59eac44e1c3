package relay

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// lazyContext is a context with a deadline that starts its timer only when Done
// is called, since most transactions never wait.
type lazyContext struct {
	clock    siskin.Clock
	deadline time.Time

	mu     sync.Mutex
	inner  context.Context
	cancel context.CancelFunc
	ended  bool
}

// Deadline implements context.Context.
func (c *lazyContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Value implements context.Context.
func (c *lazyContext) Value(any) any { return nil }

// Done implements context.Context.
func (c *lazyContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.cancel = context.WithTimeout(context.Background(), c.deadline.Sub(c.clock.Now()))
		if c.ended {
			c.cancel()
		}
	}
	return c.inner.Done()
}

// Err implements context.Context.
func (c *lazyContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.inner != nil:
		return c.inner.Err()
	case c.ended:
		return context.Canceled
	case !c.clock.Now().Before(c.deadline):
		return context.DeadlineExceeded
	}
	return nil
}

// end cancels the context and stops its timer.
func (c *lazyContext) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.cancel != nil {
		c.cancel()
	}
}
