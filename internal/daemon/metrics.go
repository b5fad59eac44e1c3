package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/stats"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/shard"
)

// latencyBuckets are the bounds of the latency histogram. They range from the
// latency of a local read to the longest deadline of a route.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)

// transactionStats counts transactions by service, customer and outcome.
type transactionStats struct {
	stats   *stats.Stats
	latency tally.Histogram
	series  *shard.Map[seriesKey, tally.Counter]
}

// seriesKey identifies one counter. The number of customer and service labels is
// bounded.
type seriesKey struct{ service, customer, outcome string }

func newTransactionStats(s *stats.Stats) *transactionStats {
	return &transactionStats{
		stats:   s,
		latency: s.Scope().Histogram("transaction_seconds", latencyBuckets),
		series:  shard.New[seriesKey, tally.Counter](),
	}
}

func (t *transactionStats) count(o front.Observation) {
	outcome := "Done"
	if o.Failed {
		outcome = o.Kind.String()
	}
	key := seriesKey{t.stats.Service(string(o.Service)), t.stats.Customer(string(o.Customer)), outcome}
	counter := t.series.GetOrCreate(key, func() tally.Counter {
		return t.stats.Scope().Tagged(map[string]string{
			"service": key.service, "customer": key.customer, "outcome": key.outcome,
		}).Counter("transactions")
	})
	counter.Inc(1)
	t.latency.RecordDuration(o.Latency)
}

// updateStats updates the metrics whose values come from other packages.
func (d *Daemon) updateStats() {
	scope := d.stats.Scope()
	st := d.Status()
	scope.Gauge("caller_sessions").Update(float64(st.Front.Sessions))
	scope.Counter("session_faults").Inc(st.Faults - d.faults)
	d.faults = st.Faults
	scope.Gauge("owned_slots").Update(float64(st.Slots))
	scope.Gauge("live_vms").Update(float64(len(d.members.Live())))
	scope.Gauge("config_revision").Update(float64(st.Revision))
	violations := int64(0)
	for _, n := range invar.Violations() {
		violations += n
	}
	scope.Gauge("invariant_violations").Update(float64(violations))
}
