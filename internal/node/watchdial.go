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

// watchDialer opens control connections and compares old with new ones: when
// a question on an old connection to a target found no answer and a new one
// answers, connections of the same age probably went silent for good.
type watchDialer struct {
	inner *pgctl.Dialer
	clock siskin.Clock
	// silent is called with the time of the question that found no answer.
	silent func(target siskin.TargetID, sent time.Time)

	mu     sync.Mutex
	failed map[siskin.TargetID]time.Time
}

// DialTarget implements siskin.TargetDialer.
func (d *watchDialer) DialTarget(ctx context.Context, id siskin.TargetID, address string) (siskin.Target, error) {
	t, err := d.inner.DialTarget(ctx, id, address)
	if err != nil {
		return nil, err
	}
	return &watchedTarget{Target: t.(*pgctl.Target), id: id, dialer: d, opened: d.clock.Now()}, nil
}

// asked records the result of a question.
func (d *watchDialer) asked(id siskin.TargetID, opened, sent time.Time, err error) {
	d.mu.Lock()
	failed, waiting := d.failed[id]
	isTimeout := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
	found := err == nil && waiting && opened.After(failed)
	switch {
	case isTimeout && !waiting:
		d.failed[id] = sent
	case err == nil && waiting:
		delete(d.failed, id) // an old connection that answers refutes it
	}
	d.mu.Unlock()
	if found {
		d.silent(id, failed)
	}
}

// watchedTarget is a control connection whose answers a watchDialer compares.
type watchedTarget struct {
	*pgctl.Target
	id     siskin.TargetID
	dialer *watchDialer
	opened time.Time
}

// Status implements siskin.Target.
func (t *watchedTarget) Status(ctx context.Context) (siskin.TargetStatus, error) {
	sent := t.dialer.clock.Now()
	st, err := t.Target.Status(ctx)
	t.dialer.asked(t.id, t.opened, sent, err)
	return st, err
}

// Wait implements siskin.Target.
func (t *watchedTarget) Wait(ctx context.Context, pos siskin.Position, limit time.Duration) (siskin.TargetStatus, error) {
	sent := t.dialer.clock.Now()
	st, err := t.Target.Wait(ctx, pos, limit)
	t.dialer.asked(t.id, t.opened, sent, err)
	return st, err
}
