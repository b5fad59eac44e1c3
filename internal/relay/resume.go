package relay

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxResumeWait limits the wait for the end of a pause. It is above the sum
	// of 2 s, in which a VM finds a peer that answers, and 1 s, in which it
	// fetches the configuration.
	maxResumeWait = 3500 * time.Millisecond
	// resumePollInterval is the time between two checks of Awake. Only requests
	// that arrive within a few milliseconds after a pause check more than once.
	resumePollInterval = 5 * time.Millisecond
)

func (h *Home) isAwake() bool { return h.Awake == nil || h.Awake() }

// awaitAwake delays a request while this VM resumes from a pause, since the
// slot, the configuration and the primary may have changed during the pause.
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
