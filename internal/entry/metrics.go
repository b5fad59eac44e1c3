package entry

import (
	"strconv"
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
	// refusedAtOnce counts requests that could not succeed, by reason. returns
	// has the retry delays that were assigned, and untimed counts the refusals
	// whose retry would be of no use to the caller.
	refusedAtOnce map[verdict]tally.Counter
	returns       tally.Histogram
	untimed       tally.Counter
	// rateWaits has the times that admitted requests waited for a token, and
	// rateRefused counts the refused ones, by class.
	rateWaits   [siskin.PriorityClasses]tally.Histogram
	rateRefused [siskin.PriorityClasses]tally.Counter
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

		refusedAtOnce: make(map[verdict]tally.Counter),
		returns:       scope.Histogram("retry_after", latencyBuckets),
		untimed:       scope.Counter("refused_without_retry_after"),
	}
	for c := range m.rateWaits {
		tagged := scope.Tagged(map[string]string{"class": strconv.Itoa(c)})
		m.rateWaits[c], m.rateRefused[c] = tagged.Histogram("rate_wait", latencyBuckets), tagged.Counter("requests_refused_by_rate")
	}
	for v := noPrimary; v <= tooSlow; v++ {
		m.refusedAtOnce[v] = scope.Tagged(map[string]string{"reason": v.String()}).Counter("requests_refused_at_once")
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

func (m *Metrics) countRefusedAtOnce(v verdict) { m.refusedAtOnce[v].Inc(1) }

// recordAdmission records whether a request was admitted within its customer's
// rate, and the time that it waited for that.
func (m *Metrics) recordAdmission(class siskin.PriorityClass, admitted bool, waited time.Duration) {
	if !admitted {
		m.rateRefused[class].Inc(1)
		return
	}
	m.rateWaits[class].RecordDuration(waited)
}

// recordReturn records the retry delay assigned to a refused request, or zero
// for none.
func (m *Metrics) recordReturn(after time.Duration) {
	if after == 0 {
		m.untimed.Inc(1)
		return
	}
	m.returns.RecordDuration(after)
}

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
