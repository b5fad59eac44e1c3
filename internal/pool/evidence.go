package pool

import (
	"time"

	"siskintray.example/siskin"
)

// ProbeFailed tells the pool that a connection to the target, opened before the
// given time, left a question sent at that time unanswered while a new
// connection works. The pool's own probes use idle connections; when a fault
// on the path finds every connection in use, there is none left to probe.
func (p *Pool) ProbeFailed(target siskin.TargetID, sent time.Time) {
	detectedAt := p.detectorOf(target).probeFailed(sent.Add(-maxControlQuiet), sent, p.clock.Now())
	p.probeIdle(target, detectedAt)
}
