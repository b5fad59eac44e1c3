package group

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// controlConn is a control connection to a target. It is opened on first use
// and replaced after a failure. Calls on it are serialized.
type controlConn struct {
	g      *Group
	member Member
	mu     sync.Mutex
	target siskin.Target
}

// errRefused marks a failure to open a connection that is not a timeout: the
// target's host replied that no process listens on the port.
var errRefused = errors.New("connection refused")

// call runs f on the connection with a time limit.
func (l *controlConn) call(limit time.Duration, f func(context.Context, siskin.Target) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.callLocked(limit, f)
}

// tryCall is like call, but fails if another call is in progress.
func (l *controlConn) tryCall(limit time.Duration, f func(context.Context, siskin.Target) error) error {
	if !l.mu.TryLock() {
		return errCallInProgress
	}
	defer l.mu.Unlock()
	return l.callLocked(limit, f)
}

var errCallInProgress = errors.New("an earlier call has not been answered")

func (l *controlConn) callLocked(limit time.Duration, f func(context.Context, siskin.Target) error) error {
	ctx, cancel := context.WithTimeout(l.g.ctx, limit)
	defer cancel()
	if l.target == nil {
		t, err := l.g.dialer.DialTarget(ctx, l.member.ID, l.member.Address)
		if err != nil {
			if ctx.Err() == nil {
				err = errors.Join(errRefused, err)
			}
			return err
		}
		l.target = t
	}
	err := f(ctx, l.target)
	if err != nil && siskin.KindOf(err) == siskin.Unavailable {
		l.closeLocked()
	}
	return err
}

func (l *controlConn) closeLocked() {
	if l.target != nil {
		_ = l.target.Close() // the connection is discarded
		l.target = nil
	}
}

func (l *controlConn) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}
