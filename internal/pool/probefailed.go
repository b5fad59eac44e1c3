package pool

import (
	"time"

	"siskintray.example/siskin"
)

// ProbeFailed reports that a probe, sent at the given time on a connection to
// the target that was opened earlier, was not answered while a new connection
// works. The pool itself probes only idle connections. If a fault on the path
// occurs while every connection is in use, it has none to probe.
func (p *Pool) ProbeFailed(target siskin.TargetID, sent time.Time) {
	detectedAt := p.detectorOf(target).probeFailed(sent.Add(-maxControlQuiet), sent, p.clock.Now())
	p.probeIdle(target, detectedAt)
}
