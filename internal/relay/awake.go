package relay

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxAsleep bounds the wait for the end of a pause. It is above the 2 s in
	// which a VM looks for a peer that answers and the 1 s in which it fetches
	// the configuration.
	maxAsleep = 3500 * time.Millisecond
	// awakePoll is the time between two looks. Only requests that arrive within
	// some milliseconds after a pause look more than once.
	awakePoll = 5 * time.Millisecond
)

func (h *Home) isAwake() bool { return h.Awake == nil || h.Awake() }

// awaitAwake holds a request back while this VM resumes from a pause, since the
// slot, the configuration and the primary may have changed meanwhile.
func (l *local) awaitAwake() error {
	h := l.home
	if h.isAwake() {
		return nil
	}
	timeout := h.Clock.After(maxAsleep)
	for !h.isAwake() {
		select {
		case <-h.Clock.After(awakePoll):
		case <-timeout:
			return paused()
		case <-l.ctx.Done():
			return paused()
		}
	}
	return nil
}

func paused() error {
	return siskin.NewError(siskin.NotRun, "this VM was paused and has not heard from its peers yet").
		WithRemedy("repeat the request")
}
