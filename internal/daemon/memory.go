package daemon

import (
	"cmp"

	"golang.org/x/time/rate"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/memory"
)

// defaultMessageMemory is Caller.MessageMemory if that is not set.
const defaultMessageMemory siskin.Bytes = 128 << 20

// callerMemory returns the account of the messages of callers.
func (d *Daemon) callerMemory() *memory.Account {
	caller := &d.settings.Caller
	lines := rate.NewLimiter(1, 5) // a crowd causes many refusals a second
	d.memory = memory.New(cmp.Or(caller.MessageMemory, defaultMessageMemory),
		memory.WithConnection(2*cmp.Or(caller.MaxMessage, front.DefaultMaxMessage)),
		memory.WithRefusals(func(r memory.Refusal) {
			if lines.Allow() {
				d.log().Warn().Stringer("Bound", r.Bound).Str("Customer", string(r.Customer)).Int64("Size", int64(r.Size)).
					Int64("Used", int64(r.Used)).Msg("refused memory for a message")
			}
		}))
	return d.memory
}

// updateMemoryGauges publishes what messages hold and which bound refused them.
func (d *Daemon) updateMemoryGauges() {
	scope := d.stats.Scope()
	scope.Gauge("message_memory").Update(float64(d.memory.Used()))
	for b, count := range d.memory.Refused() {
		scope.Tagged(map[string]string{"bound": b.String()}).Gauge("message_memory_refused").Update(float64(count))
	}
}
