package node

import (
	"context"
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
)

// watchedGroup is a running group and the settings that it was started with.
type watchedGroup struct {
	*group.Group
	settings    group.Settings
	credentials config.Credentials
	views       *remoteViews
	clock       siskin.Clock

	ctx    context.Context // ends at Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// follow passes each view to observe and calls endOlder for each new term.
func (w *watchedGroup) follow(endWritesBefore func(siskin.ServiceName, siskin.Term), observe func(siskin.ServiceName, *siskin.GroupView)) {
	var last siskin.Term
	for {
		changed := w.Changed()
		view := w.Group.View()
		observe(w.settings.Service, &view)
		if term := view.Term; term > last {
			last = term
			endWritesBefore(w.settings.Service, term)
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return
		}
	}
}

// View implements siskin.Group. A VM that does not probe the targets does not
// measure staleness. It uses a watcher's value plus the time since the request.
func (w *watchedGroup) View() siskin.GroupView {
	view := w.Group.View()
	if !w.Passive() {
		return view
	}
	received, askedAt, _ := w.views.get(w.settings.Service)
	if received.Term != view.Term {
		return view
	}
	age := w.clock.Since(askedAt)
	for i := range view.Targets {
		t := &view.Targets[i]
		if measured, ok := received.Target(t.Status.ID); ok && measured.Staleness >= 0 {
			t.Staleness = measured.Staleness + age
			t.Status.Applied = max(t.Status.Applied, measured.Status.Applied)
		}
	}
	return view
}

// has reports whether the target is one of the group's.
func (w *watchedGroup) has(target siskin.TargetID) bool {
	for i := range w.settings.Members {
		if w.settings.Members[i].ID == target {
			return true
		}
	}
	return false
}

// Close stops the group and waits for it.
func (w *watchedGroup) Close() error {
	w.cancel()
	w.wg.Wait()
	return w.Group.Close()
}
