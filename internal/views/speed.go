package views

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
)

// Speed is what a VM knows about the time of statements at a target.
type Speed struct {
	// Times are the figures of each kind of statement as the target's home
	// reported them; each has its own time of the report.
	Times [speed.Kinds]speed.Figures
	// Limit is the number of statements that the home runs at a time, or zero
	// if it is not known.
	Limit int
	// Distance is the time that statements take beyond that at the target and
	// in its queue, as measured by this VM at the time DistanceAt.
	Distance   time.Duration
	DistanceAt time.Time
	// Failures are those that this VM has seen.
	Failures speed.Failures
}

// DistanceNow returns the distance for the choice of a target. It ages: a target that
// gets no reads because of its distance is tried again, and one read restores it.
func (s *Speed) DistanceNow(now time.Time) time.Duration {
	return time.Duration(speed.Aged(float64(s.Distance), now.Sub(s.DistanceAt)))
}

// distanceSpan is the number of statements over which the distance is taken.
// It falls faster, with nearerSpan, since a statement can wait at a VM for other
// reasons than the distance, such as a new connection.
const (
	distanceSpan = 16
	nearerSpan   = 2
)

// RecordSpeed records what a home reported about a target for one kind of
// statement. A home of an earlier version reports nothing.
func (v *Views) RecordSpeed(id siskin.TargetID, k speed.Kind, r speed.Report, at time.Time) {
	if r.Limit <= 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &v.target(id).Speed
	s.Limit = r.Limit
	if k > speed.None && k < speed.Kinds && at.After(s.Times[k].At) {
		s.Times[k] = r.Figures(at)
	}
}

// RecordReads records what a home reported about reads of each class. Nothing is
// known of a class without samples.
func (v *Views) RecordReads(id siskin.TargetID, reports []speed.Report, at time.Time) {
	for i, r := range reports[:min(len(reports), int(siskin.LeastUrgent)+1)] {
		v.RecordSpeed(id, speed.ReadOf(siskin.PriorityClass(i)), r, at)
	}
}

// RecordOutcome records whether a target failed a statement of this VM.
func (v *Views) RecordOutcome(id siskin.TargetID, failed bool, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).Speed.Failures.Add(failed, at)
}

// RecordDistance records the time that a statement took beyond that at the
// target and in its queue.
func (v *Views) RecordDistance(id siskin.TargetID, d time.Duration, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := &v.target(id).Speed
	s.DistanceAt = at
	switch d = max(d, 0); {
	case s.Distance == 0:
		s.Distance = d
	case d < s.Distance:
		s.Distance += (d - s.Distance) / nearerSpan
	default:
		s.Distance += (d - s.Distance) / distanceSpan
	}
}
