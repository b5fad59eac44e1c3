package node

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/pgctl"
)

// probeDialer opens control connections and detects connections that silently
// stopped working: when a request on an old connection to a target timed out
// and a new connection works, other connections of the same age probably get no
// answers any more either.
type probeDialer struct {
	inner *pgctl.Dialer
	clock siskin.Clock
	// onSilentConns is called with the time of the request that timed out.
	onSilentConns func(target siskin.TargetID, sent time.Time)

	mu       sync.Mutex
	timedOut map[siskin.TargetID]time.Time
}

// DialTarget implements siskin.TargetDialer.
func (d *probeDialer) DialTarget(ctx context.Context, id siskin.TargetID, address string) (siskin.Target, error) {
	t, err := d.inner.DialTarget(ctx, id, address)
	if err != nil {
		return nil, err
	}
	return &probedTarget{Target: t.(*pgctl.Target), id: id, dialer: d, opened: d.clock.Now()}, nil
}

// recordResult records the result of a request on a connection.
func (d *probeDialer) recordResult(id siskin.TargetID, opened, sent time.Time, err error) {
	d.mu.Lock()
	timedOut, pending := d.timedOut[id]
	isTimeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	silenced := err == nil && pending && opened.After(timedOut)
	switch {
	case isTimeout && !pending:
		d.timedOut[id] = sent
	case err == nil && pending:
		delete(d.timedOut, id) // reported below, or an old connection still answers
	}
	d.mu.Unlock()
	if silenced {
		d.onSilentConns(id, timedOut)
	}
}

// probedTarget is a control connection that reports its results to a
// probeDialer.
type probedTarget struct {
	*pgctl.Target
	id     siskin.TargetID
	dialer *probeDialer
	opened time.Time
}

// Status implements siskin.Target.
func (t *probedTarget) Status(ctx context.Context) (siskin.TargetStatus, error) {
	sent := t.dialer.clock.Now()
	st, err := t.Target.Status(ctx)
	t.dialer.recordResult(t.id, t.opened, sent, err)
	return st, err
}

// Wait implements siskin.Target.
func (t *probedTarget) Wait(ctx context.Context, pos siskin.Position, limit time.Duration) (siskin.TargetStatus, error) {
	sent := t.dialer.clock.Now()
	st, err := t.Target.Wait(ctx, pos, limit)
	t.dialer.recordResult(t.id, t.opened, sent, err)
	return st, err
}
