package entry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"siskintray.example/siskin"
)

// Metrics are the counters and histograms of sessions.
type Metrics struct {
	Sessions tally.Counter
	// Panics counts sessions that ended because of a panic.
	Panics   tally.Counter
	answers  map[siskin.AnswerCode]tally.Counter
	refusals map[siskin.AnswerCode]tally.Counter
	latency  map[siskin.RouteKind]tally.Histogram
	waited   tally.Histogram
	ran      tally.Histogram
}

// latencyBuckets range from one millisecond to the longest timeouts.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// NewMetrics returns metrics in the given scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{
		Sessions: scope.Counter("sessions_opened"),
		Panics:   scope.Counter("session_faults"),
		answers:  make(map[siskin.AnswerCode]tally.Counter),
		refusals: make(map[siskin.AnswerCode]tally.Counter),
		latency:  make(map[siskin.RouteKind]tally.Histogram),
		waited:   scope.Histogram("queue_wait", latencyBuckets),
		ran:      scope.Histogram("target_time", latencyBuckets),
	}
	for c := siskin.Succeeded; c <= siskin.NoAuth; c++ {
		tagged := scope.Tagged(map[string]string{"code": c.String()})
		m.answers[c], m.refusals[c] = tagged.Counter("requests"), tagged.Counter("sessions_refused")
	}
	for kind, name := range map[siskin.RouteKind]string{
		siskin.PrimaryReads: "primary", siskin.BoundedStaleness: "bounded", siskin.ReadYourWrites: "own_writes",
	} {
		m.latency[kind] = scope.Tagged(map[string]string{"route": name}).Histogram("request_latency", latencyBuckets)
	}
	return m
}

func (m *Metrics) countRefusal(c siskin.AnswerCode) { m.refusals[c].Inc(1) }

func (m *Metrics) recordOperation(o *operation, a *siskin.Answer, took time.Duration) {
	answers, ok := m.answers[a.Code]
	if !ok { // a code of another version of the program, sent to the caller as Failed
		answers = m.answers[siskin.Failed]
	}
	answers.Inc(1)
	if o.route != nil {
		m.latency[o.route.Kind].RecordDuration(took)
	}
	if o.attempts > 0 {
		m.waited.RecordDuration(o.reply.Waited)
		m.ran.RecordDuration(o.reply.Ran)
	}
}
