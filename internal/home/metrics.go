package home

import (
	"errors"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/fairq"
)

// Metrics counts what happens on connections to targets, and in the queues for
// them by class.
type Metrics struct {
	misfits    [len(misfits)]tally.Counter
	closed     [len(closeReasons)]tally.Counter
	displaced  [siskin.PriorityClasses]tally.Counter
	queueWaits [siskin.PriorityClasses]tally.Histogram
	connWaits  [siskin.PriorityClasses]tally.Histogram
	speeds     *speedGauges
}

// noMetrics drops what it counts.
var noMetrics = NewMetrics(tally.NoopScope)

// waitBuckets range from the time of a round trip to the longest waits.
var waitBuckets = tally.DurationBuckets{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second,
}

// NewMetrics returns metrics in the given scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{speeds: newSpeedGauges(scope)}
	for i, name := range misfits {
		m.misfits[i] = scope.Tagged(map[string]string{"kind": name}).Counter("target_answer_misfits")
	}
	for i, name := range closeReasons {
		m.closed[i] = scope.Tagged(map[string]string{"reason": name}).Counter("target_connections_closed")
	}
	for class := range siskin.PriorityClasses {
		byClass := scope.Tagged(map[string]string{"class": strconv.Itoa(class)})
		m.displaced[class] = byClass.Counter("target_requests_displaced")
		m.queueWaits[class] = byClass.Histogram("target_queue_wait", waitBuckets)
		m.connWaits[class] = byClass.Histogram("target_connection_wait", waitBuckets)
	}
	return m
}

// recordQueue records the wait of a request for a slot, and whether it was
// displaced.
func (m *Metrics) recordQueue(class siskin.PriorityClass, waited time.Duration, err error) {
	m.queueWaits[class].RecordDuration(waited)
	if errors.Is(err, fairq.ErrDisplaced) {
		m.displaced[class].Inc(1)
	}
}
