package pool

import (
	"time"

	"siskintray.example/siskin"
)

// ProbeFailed reports that an existing connection to the target did not answer a
// probe sent at the given time, while a new connection works. The pool needs
// such reports, since it probes only idle connections itself: if a fault on the
// path occurs while every connection is in use, it has none to probe.
func (p *Pool) ProbeFailed(target siskin.TargetID, sent time.Time) {
	detectedAt := p.detectorOf(target).probeFailed(sent.Add(-maxControlQuiet), sent, p.clock.Now())
	p.probeIdle(target, detectedAt)
}
