package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

const (
	// pushTimeout bounds the passing of a view to one VM.
	pushTimeout = time.Second
	// maxPushBackoff is the longest time between two attempts to reach a VM that
	// is a home in this VM's view and does not answer it.
	maxPushBackoff = 5 * time.Second
)

// pushViews tells the other homes of the group each change that this VM sees while
// it probes the targets. A VM that does not answer is told again, so that a
// lost call leaves no home with an outdated primary.
func (w *watchedGroup) pushViews(g *groups, service *config.Service) {
	sent := make(map[siskin.VMID]uint64) // the change that each home knows
	change, failures := uint64(0), 0
	changed := w.Changed()
	for {
		var retry <-chan time.Time
		if !w.Passive() && w.pushView(g, service, sent, change) {
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

// pushView tells the homes that do not know the change with the given number and
// reports whether any did not answer.
func (w *watchedGroup) pushView(g *groups, service *config.Service, sent map[siskin.VMID]uint64, change uint64) (unreached bool) {
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
		if last, ok := sent[vm.ID]; g.isSelf(vm) || ok && last == change {
			continue
		}
		calls++
		go func() { results <- result{vm.ID, g.sendView(ctx, vm.ID, &view, service.Name)} }()
	}
	for range calls {
		if r := <-results; r.err == nil {
			sent[r.vm] = change
		} else {
			unreached = true
		}
	}
	return unreached
}
