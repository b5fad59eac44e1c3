package node

import (
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
)

// watchedGroup is a running group with the settings that it was started with.
type watchedGroup struct {
	*group.Group
	settings    group.Settings
	credentials config.Credentials

	closed chan struct{}
	wg     sync.WaitGroup
}

// follow passes each view to observe and calls endOlder for each new term.
func (w *watchedGroup) follow(endOlder func(siskin.ServiceName, siskin.Term), observe func(siskin.ServiceName, *siskin.GroupView)) {
	var last siskin.Term
	for {
		changed := w.Changed()
		view := w.View()
		observe(w.settings.Service, &view)
		if term := view.Term; term > last {
			last = term
			endOlder(w.settings.Service, term)
		}
		select {
		case <-changed:
		case <-w.closed:
			return
		}
	}
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

// Close ends the group and waits for it.
func (w *watchedGroup) Close() error {
	close(w.closed)
	w.wg.Wait()
	return w.Group.Close()
}
