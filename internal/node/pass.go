package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

const (
	// passTimeout bounds the passing of a view to one VM.
	passTimeout = time.Second
	// maxPassPause is the longest time between two attempts to reach a VM that
	// is a home in this VM's view and does not answer it.
	maxPassPause = 5 * time.Second
)

// pass tells the other homes of the group each change that this VM sees while
// it probes the targets. A VM that does not answer is told again, so that a
// lost call leaves no home with an outdated primary.
func (w *watchedGroup) pass(g *groups, service *config.Service) {
	told := make(map[siskin.VMID]uint64) // the change that each home knows
	number, failures := uint64(0), 0
	changed := w.Changed()
	for {
		var again <-chan time.Time
		if !w.Passive() && w.passOn(g, service, told, number) {
			again = w.clock.After(min(w.settings.Interval<<min(failures, 8), maxPassPause))
			failures++
		}
		select {
		case <-changed:
			changed = w.Changed()
			number++
			failures = 0
		case <-again:
		case <-w.ctx.Done():
			return
		}
	}
}

// passOn tells the homes that do not know the change with the given number and
// reports whether any did not answer.
func (w *watchedGroup) passOn(g *groups, service *config.Service, told map[siskin.VMID]uint64, number uint64) (behind bool) {
	view := w.Group.View()
	if view.Primary == "" {
		return false
	}
	type result struct {
		vm  siskin.VMID
		err error
	}
	results := make(chan result)
	asked := 0
	ctx, cancel := context.WithTimeout(w.ctx, passTimeout)
	defer cancel()
	for _, vm := range g.homes.rankOf(g.current(service)) {
		if known, ok := told[vm.ID]; g.isSelf(vm) || ok && known == number {
			continue
		}
		asked++
		go func() { results <- result{vm.ID, g.tell(ctx, vm.ID, &view, service.Name)} }()
	}
	for range asked {
		if r := <-results; r.err == nil {
			told[r.vm] = number
		} else {
			behind = true
		}
	}
	return behind
}
