package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

const (
	// pushTimeout bounds sending a view to the other homes once.
	pushTimeout = time.Second
	// maxPushBackoff is the longest delay before a view is sent again to homes
	// that did not answer.
	maxPushBackoff = 5 * time.Second
)

// pushViews sends this VM's view to the other homes of the group after each
// change, while this VM probes the targets. It repeats the call to a VM that
// does not answer, so that a lost call leaves no home with an outdated primary.
func (w *watchedGroup) pushViews(g *groups, service *config.Service) {
	acked := make(map[siskin.VMID]uint64) // last change that each home acknowledged
	change, failures := uint64(0), 0
	changed := w.Changed()
	for {
		var retry <-chan time.Time
		if !w.Passive() && w.pushView(g, service, acked, change) {
			retry = w.clock.After(min(w.settings.Interval<<min(failures, 8), maxPushBackoff))
			failures++
		}
		select {
		case <-changed:
			changed = w.Changed()
			change++
			failures = 0
		case <-retry:
		case <-w.ctx.Done():
			return
		}
	}
}

// pushView sends the view to the homes that did not acknowledge the change with
// the given number and reports whether any did not answer.
func (w *watchedGroup) pushView(g *groups, service *config.Service, acked map[siskin.VMID]uint64, change uint64) (unreached bool) {
	view := w.Group.View()
	if view.Primary == "" {
		return false
	}
	type result struct {
		vm  siskin.VMID
		err error
	}
	results := make(chan result)
	calls := 0
	ctx, cancel := context.WithTimeout(w.ctx, pushTimeout)
	defer cancel()
	for _, vm := range g.homes.rankedHomes(g.current(service)) {
		if last, ok := acked[vm.ID]; g.isSelf(vm) || ok && last == change {
			continue
		}
		calls++
		go func() { results <- result{vm.ID, g.sendView(ctx, vm.ID, &view, service.Name)} }()
	}
	for range calls {
		if r := <-results; r.err == nil {
			acked[r.vm] = change
		} else {
			unreached = true
		}
	}
	return unreached
}
