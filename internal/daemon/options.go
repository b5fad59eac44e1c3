package daemon

import (
	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Option configures a Daemon.
type Option func(*options)

type options struct {
	clock siskin.Clock
	log   *log.Logger
	dial  siskin.DialFunc
	drop  func(from, to siskin.VMID) bool
}

// WithClock sets the clock; the default is the real one.
func WithClock(clock siskin.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLog sets the logger; the default logger uses the settings.
func WithLog(l *log.Logger) Option { return func(o *options) { o.log = l } }

// WithDial sets the function that opens connections to targets, to the platform
// and for forwarded transactions. Tests use one that injects delays and faults.
func WithDial(dial siskin.DialFunc) Option { return func(o *options) { o.dial = dial } }

// WithDrop sets a function that selects calls between VMs to drop, for fault
// injection.
func WithDrop(drop func(from, to siskin.VMID) bool) Option {
	return func(o *options) { o.drop = drop }
}
