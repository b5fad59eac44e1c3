package home

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
)

// repeatedLineInterval is the minimum time between two log lines about the same
// kind of event at one target.
const repeatedLineInterval = 100 * time.Millisecond

// connReport logs and counts the events of connections to targets.
type connReport struct {
	clock   siskin.Clock
	log     *log.Logger // may be nil
	metrics *Metrics
	repeats *logs.RepeatLimiter
	lastID  atomic.Uint64
}

func newConnReport(cfg *Config) *connReport {
	return &connReport{clock: cfg.Clock, log: cfg.Log, metrics: cfg.Metrics, repeats: logs.NewRepeatLimiter(cfg.Clock, repeatedLineInterval)}
}

func (r *connReport) nextID() ConnID { return ConnID(r.lastID.Add(1)) }

// misfit reports an answer that cannot belong to the statement s.
func (r *connReport) misfit(c *conn, s *siskin.Statement, a *siskin.Answer, m misfit) {
	r.metrics.misfits[m].Inc(1)
	if e := r.line(c, "misfit/"+m.String()); e != nil {
		e.Str("RequestID", logs.Clip(string(s.ID))).Stringer("Kind", s.Kind).Stringer("Misfit", m).Stringer("Code", a.Code).Stringer("State", a.State).
			Str("Signature", logs.Clip(a.Signature)).Int("Rows", len(a.Rows)).Msg("an answer does not fit its statement")
	}
}

// closed reports that this VM closed a connection.
func (r *connReport) closed(c *conn, reason closeReason) {
	r.metrics.closed[reason].Inc(1)
	if !reason.isUnplanned() {
		return
	}
	if e := r.line(c, "closed/"+reason.String()); e != nil {
		e.Stringer("Reason", reason).Dur("Age", r.clock.Since(c.openedAt)).Msg("closed a connection to a target")
	}
}

// line returns a log line with the fields of a connection, or nil if such a line
// was written a moment ago.
func (r *connReport) line(c *conn, event string) *log.Entry {
	if r.log == nil {
		return nil
	}
	suppressed, ok := r.repeats.Allow(event + "/" + string(c.target))
	if !ok {
		return nil
	}
	e := r.log.Warn().Str("Target", string(c.target)).Str("Customer", string(c.customer)).Uint64("Conn", uint64(c.id)).Int("Exchange", c.exchanges)
	if suppressed > 0 {
		e = e.Int("Suppressed", int(suppressed))
	}
	return e
}
