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

// probeDialer opens control connections and compares old with new ones: when
// a question on an old connection to a target found no answer and a new one
// answers, connections of the same age probably went silent for good.
type probeDialer struct {
	inner *pgctl.Dialer
	clock siskin.Clock
	// onSilentConns is called with the time of the question that found no answer.
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

// recordResult records the result of a question.
func (d *probeDialer) recordResult(id siskin.TargetID, opened, sent time.Time, err error) {
	d.mu.Lock()
	timedOut, pending := d.timedOut[id]
	isTimeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	silenced := err == nil && pending && opened.After(timedOut)
	switch {
	case isTimeout && !pending:
		d.timedOut[id] = sent
	case err == nil && pending:
		delete(d.timedOut, id) // an old connection that answers refutes it
	}
	d.mu.Unlock()
	if silenced {
		d.onSilentConns(id, timedOut)
	}
}

// probedTarget is a control connection whose answers a watchDialer compares.
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
