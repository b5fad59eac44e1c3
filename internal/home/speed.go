package home

import (
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
)

// newSpeed returns the measurements of the pool's target, whose limit on running
// statements applies to the queue.
func (l *pool) newSpeed() *speed.Target {
	return speed.NewTarget(l.info.Slots, l.info.Slots+spareRunning, l.created, l.setPlaces(l.info.ID))
}

// updateSpeed applies an entry of service discovery. What was measured of an
// earlier run or address of the target no longer counts.
func (l *pool) updateSpeed(info, before *siskin.TargetInfo) {
	now := l.clock.Now()
	if info.Address != before.Address || !info.StartedAt.Equal(before.StartedAt) || info.Slots != before.Slots {
		l.speed.Reset(info.Slots, info.Slots+spareRunning, now)
		return
	}
	l.speed.Update(now)
}

// setPlaces applies a limit on the statements that run at a time, and logs it.
func (l *pool) setPlaces(id siskin.TargetID) func(int) {
	return func(n int) {
		l.queue.SetPlaces(n)
		l.report.limitChanged(id, n)
	}
}

// limitChanged reports a change of the number of statements at a time.
func (r *connReport) limitChanged(id siskin.TargetID, n int) {
	if e := r.speedLine("limit", id); e != nil {
		e.Int("Limit", n).Msg("the number of statements at a time at a target has changed")
	}
}

// speedLine returns a log line about a target, or nil if such a line was written
// a moment ago.
func (r *connReport) speedLine(event string, id siskin.TargetID) *log.Entry {
	if r.log == nil {
		return nil
	}
	suppressed, ok := r.repeats.Allow(event + "/" + string(id))
	if !ok {
		return nil
	}
	e := r.log.Info().Str("Target", string(id))
	if suppressed > 0 {
		e = e.Int("Suppressed", int(suppressed))
	}
	return e
}

// exchange sends statements on a connection and measures the time of the
// statement at the given index if it succeeds, which a signature shows. With
// other statements before it, the time is not its own.
func (l *pool) exchange(c *conn, deadline time.Time, list []siskin.Statement, index int, kind speed.Kind) ([]siskin.Answer, error) {
	running := l.speed.Begin()
	asked := l.clock.Now()
	answers, err := c.exchange(deadline, list)
	now := l.clock.Now()
	l.speed.End()
	if index > 0 || len(answers) == 0 || answers[0].Code != siskin.Succeeded || answers[0].Signature == "" {
		return answers, err
	}
	before := l.speed.Figures(kind, now)
	if l.speed.Add(kind, running, now.Sub(asked), now) {
		l.report.speedChanged(l.target(), kind, before, l.speed.Figures(kind, now))
	}
	return answers, err
}

// speedKind returns the kind of a statement of the request outside of an open
// transaction.
func (r *Request) speedKind(s *siskin.Statement, commitsWrites bool) speed.Kind {
	read := speed.OtherRead
	if r.Proof == FloorProof && r.Mode == Single {
		read = speed.ReadOf(r.Class)
	}
	return speed.KindOf(s, read, commitsWrites)
}

// SpeedKind returns the kind of statement that Reply.Speed tells of.
func (r *Request) SpeedKind() speed.Kind { return r.speedKind(&r.Statement, true) }

// speedChanged reports a sudden change of the time at a target.
func (r *connReport) speedChanged(id siskin.TargetID, kind speed.Kind, before, after speed.Figures) {
	if e := r.speedLine("speed/"+kind.String(), id); e != nil {
		e.Stringer("Kind", kind).Dur("Before", before.Expected()).Dur("Expected", after.Expected()).Msg("the time at a target has changed")
	}
}

// readReports returns what others are told about reads of each class, without
// the classes at the end of which nothing is known.
func (l *pool) readReports(now time.Time) (reports []speed.Report) {
	for c := range siskin.LeastUrgent + 1 {
		if r := l.speed.Report(speed.ReadOf(c), now); r.Samples > 0 {
			reports = append(reports, make([]speed.Report, int(c)-len(reports))...)
			reports = append(reports, r)
		}
	}
	return reports
}

// recordSpeed records what this VM measured as the home of a target, as others
// do with its answers to their pings.
func (h *Homes) recordSpeed(info siskin.TargetInfo, l *pool) {
	if now := h.cfg.Clock.Now(); h.cfg.IsHome(info) {
		h.cfg.Views.RecordReads(info.ID, l.readReports(now), now)
	}
}

// ReadSpeeds returns what other VMs are told about reads of each class at the
// targets that this VM is the home of.
func (h *Homes) ReadSpeeds() map[siskin.TargetID][]speed.Report {
	now := h.cfg.Clock.Now()
	var all map[siskin.TargetID][]speed.Report
	h.pools.Range(func(id siskin.TargetID, l *pool) bool {
		if info, ok := h.cfg.Target(id); !ok || !h.cfg.IsHome(info) {
			return true // the target's home tells what it measures
		}
		if reports := l.readReports(now); len(reports) > 0 {
			if all == nil {
				all = make(map[siskin.TargetID][]speed.Report)
			}
			all[id] = reports
		}
		return true
	})
	return all
}
