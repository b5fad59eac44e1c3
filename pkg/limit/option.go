package limit

import (
	"time"

	"siskintray.example/siskin"
)

// Option changes a setting of a Limiter.
type Option func(*settings)

type settings struct {
	maxWait    time.Duration
	prepareAll bool
	homes      func(siskin.CustomerID, []siskin.VM) []siskin.VM
	logf       func(format string, args ...any)
}

func defaultSettings() settings {
	return settings{maxWait: 50 * time.Millisecond, logf: func(string, ...any) {}}
}

// WithMaxWait sets how long AdmitWait waits for units from other VMs. The
// default of 50 ms covers several round trips between data centres.
func WithMaxWait(d time.Duration) Option { return func(s *settings) { s.maxWait = d } }

// WithHomes sets the function that selects, from the given live VMs, those
// that admit requests of a customer. The initial units of a new bucket are
// granted only to them, so that no other VM becomes a holder that a reclaim
// has to wait for. The default is all live VMs.
func WithHomes(homes func(id siskin.CustomerID, live []siskin.VM) []siskin.VM) Option {
	return func(s *settings) { s.homes = homes }
}

// WithLogf sets the function that logs reclaims and failed calls. The default
// discards these messages.
func WithLogf(logf func(format string, args ...any)) Option {
	return func(s *settings) { s.logf = logf }
}

// WithPrepareAll makes the VM a holder for every configured customer, as if
// each were passed to Prepare. It is meant for fleets of a few VMs, since
// every holder must report in each reclaim.
func WithPrepareAll() Option { return func(s *settings) { s.prepareAll = true } }
