package home

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
)

// speedGauges show what a VM has measured of each target.
type speedGauges struct {
	scope   tally.Scope
	mu      sync.Mutex
	targets map[siskin.TargetID]*targetGauges
}

// targetGauges are the gauges of one target. The expected times are in seconds.
type targetGauges struct {
	scope    tally.Scope
	expected [speed.Kinds]tally.Gauge // nil until the time is known
	limit    tally.Gauge
}

func newSpeedGauges(scope tally.Scope) *speedGauges {
	return &speedGauges{scope: scope, targets: make(map[siskin.TargetID]*targetGauges)}
}

// target returns the gauges of a target.
func (g *speedGauges) target(id siskin.TargetID) *targetGauges {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	if t != nil {
		return t
	}
	scope := g.scope.Tagged(map[string]string{"target": string(id)})
	t = &targetGauges{scope: scope, limit: scope.Gauge("target_statement_limit")}
	g.targets[id] = t
	return t
}

// expect shows the expected time of a kind of statement.
func (t *targetGauges) expect(k speed.Kind, d time.Duration) {
	if t.expected[k] == nil && d > 0 {
		t.expected[k] = t.scope.Tagged(map[string]string{"kind": k.String()}).Gauge("target_expected_seconds")
	}
	if t.expected[k] != nil {
		t.expected[k].Update(d.Seconds())
	}
}

// remove sets the gauges of a target that is gone to zero.
func (g *speedGauges) remove(id siskin.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[id]
	if t == nil {
		return
	}
	t.limit.Update(0)
	for k := range speed.Kinds {
		t.expect(k, 0)
	}
	delete(g.targets, id)
}

// showSpeed updates the gauges of the pool's target.
func (l *pool) showSpeed(id siskin.TargetID) {
	g, now := l.report.metrics.speeds.target(id), l.clock.Now()
	g.limit.Update(float64(l.speed.Limit()))
	for k := range speed.Kinds {
		g.expect(k, l.speed.Figures(k, now).Expected())
	}
}
