package node

import (
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// remoteView is the latest view of one group received from another VM.
type remoteView struct {
	lastUsed atomic.Int64 // time of the last use in nanoseconds
	polling  atomic.Bool

	mu      sync.Mutex
	view    siskin.GroupView
	askedAt time.Time // when the view was requested
	changed chan struct{}
}

func newRemoteView() *remoteView {
	return &remoteView{changed: make(chan struct{})}
}

func (v *remoteView) get() (siskin.GroupView, time.Time, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view, v.askedAt, v.changed
}

// set stores a view unless one of a later term is known. It closes the changed
// channel when the term, the primary or the number of reachable targets changes.
func (v *remoteView) set(view siskin.GroupView, askedAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if view.Term < v.view.Term {
		return
	}
	announce := view.Term != v.view.Term || view.Primary != v.view.Primary || reachableTargets(&view) != reachableTargets(&v.view)
	v.view, v.askedAt = view, askedAt
	if announce {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// hasWritablePrimary reports whether the group has a primary that takes writes.
func (v *remoteView) hasWritablePrimary() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.view.Target(v.view.Primary)
	return ok && p.Reachable && !p.Status.Draining
}

// reachableTargets returns the number of reachable targets.
func reachableTargets(view *siskin.GroupView) int {
	n := 0
	for i := range view.Targets {
		if view.Targets[i].Reachable {
			n++
		}
	}
	return n
}
