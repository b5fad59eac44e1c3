package relay

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxResumeWait bounds the wait for the end of a pause. It is above the 2 s in
	// which a VM looks for a peer that answers and the 1 s in which it fetches
	// the configuration.
	maxResumeWait = 3500 * time.Millisecond
	// resumePollInterval is the time between two looks. Only requests that arrive within
	// some milliseconds after a pause look more than once.
	resumePollInterval = 5 * time.Millisecond
)

func (h *Home) isAwake() bool { return h.Awake == nil || h.Awake() }

// awaitAwake holds a request back while this VM resumes from a pause, since the
// slot, the configuration and the primary may have changed meanwhile.
func (l *localExecutor) awaitAwake() error {
	h := l.home
	if h.isAwake() {
		return nil
	}
	timeout := h.Clock.After(maxResumeWait)
	for !h.isAwake() {
		select {
		case <-h.Clock.After(resumePollInterval):
		case <-timeout:
			return pausedError()
		case <-l.ctx.Done():
			return pausedError()
		}
	}
	return nil
}

func pausedError() error {
	return siskin.NewError(siskin.NotRun, "this VM was paused and has not heard from its peers yet").
		WithRemedy("repeat the request")
}
