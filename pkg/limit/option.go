package limit

import "time"

// Option changes a setting of a Limiter.
type Option func(*settings)

type settings struct {
	waitBound  time.Duration
	prepareAll bool
	logf       func(format string, args ...any)
}

func defaults() settings {
	return settings{waitBound: 50 * time.Millisecond, logf: func(string, ...any) {}}
}

// WithWaitBound sets how long AdmitWait waits for units from other VMs. The
// default of 50 ms covers several round trips between data centres.
func WithWaitBound(d time.Duration) Option { return func(s *settings) { s.waitBound = d } }

// WithLogf sets the function that receives messages about reclaims and failed
// calls. The default discards them.
func WithLogf(logf func(format string, args ...any)) Option {
	return func(s *settings) { s.logf = logf }
}

// WithPrepareAll makes the VM a holder for every configured customer at once,
// as Prepare does. It suits fleets of a few VMs: every holder must report in
// each reclaim.
func WithPrepareAll() Option { return func(s *settings) { s.prepareAll = true } }
