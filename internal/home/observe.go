package home

import (
	"context"
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
)

// Run is what a VM knows of the present run of a target, which forgets its log and
// its pauses when it starts again.
type Run struct {
	// Running is the time for which a connection has shown the same run.
	Running time.Duration
	// Failed is the time since the target may have started again unnoticed: a
	// connection to it failed, or this VM is not its home and holds no other one.
	// It is zero when nothing says so.
	Failed time.Duration
}

// Observed is the state of a target and what is known of its run.
type Observed struct {
	Status siskin.ControlStatus
	Run    Run
}

// Observe asks a target for its state on the oldest connection that is free, since
// that one tells most of the target's run.
func (h *Homes) Observe(ctx context.Context, id siskin.TargetID) (siskin.Answer, Run, error) {
	l, ok := h.lane(id)
	if !ok {
		return siskin.Answer{}, Run{}, siskin.NewError(siskin.Unavailable, "target %s is not known", id).WithRemedy("wait for service discovery")
	}
	status := siskin.Statement{Kind: siskin.Status}
	if c := l.takeOldest(); c != nil {
		answers, err := c.Exchange(exchangeDeadline(ctx), []siskin.Statement{status})
		switch {
		case err != nil:
			l.noteBreak(err)
			l.drop(c)
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				l.dropIdle()
			}
		case answers[0].State != siskin.TxIdle:
			l.drop(c)
		default:
			opened := c.opened
			l.put(c)
			return answers[0], h.run(l, opened), nil
		}
		if ctx.Err() != nil {
			return siskin.Answer{}, Run{}, siskin.NewError(siskin.Unavailable, "target %s gave no answer", id).WithCause(err)
		}
	}
	answers, err := h.Control(ctx, id, status)
	if err != nil {
		return siskin.Answer{}, Run{}, err
	}
	l.control.mu.Lock()
	opened := l.control.since
	if l.control.c == nil { // it answered on another one
		opened = h.cfg.Clock.Now()
	}
	l.control.mu.Unlock()
	return answers[0], h.run(l, opened), nil
}

// run returns what an answer on a connection that was open at a moment tells of a
// target's run.
func (h *Homes) run(l *lane, opened time.Time) Run {
	now := h.cfg.Clock.Now()
	r := Run{Running: now.Sub(opened)}
	l.mu.Lock()
	info, last := l.info, l.failed
	if l.silent.After(last) {
		last = l.silent
	}
	l.mu.Unlock()
	if !h.cfg.IsHome(info) && opened.After(last) {
		last = opened
	}
	if !last.IsZero() {
		r.Failed = max(now.Sub(last), 1)
	}
	return r
}

// takeOldest takes the idle connection that was opened first, nil when there is none
// or the control connection is older.
func (l *lane) takeOldest() *conn {
	var control time.Time
	if l.control.mu.TryLock() {
		if l.control.c != nil {
			control = l.control.since
		}
		l.control.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := -1
	for i, c := range l.idle {
		if oldest < 0 || c.opened.Before(l.idle[oldest].opened) {
			oldest = i
		}
	}
	if oldest < 0 || !control.IsZero() && control.Before(l.idle[oldest].opened) {
		return nil
	}
	c := l.idle[oldest]
	l.idle = append(l.idle[:oldest], l.idle[oldest+1:]...)
	return c
}

// noteBreak notes that a connection which had answered before does so no more.
func (l *lane) noteBreak(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.silent = l.clock.Now()
		return
	}
	l.failed = l.clock.Now()
}
