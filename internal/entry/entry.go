package entry

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/shard"
)

// Entry manages the sessions of one VM. It is safe for concurrent use.
type Entry struct {
	cfg  Config
	done sync.WaitGroup

	logLimiter *logLimiter
	writeHints *writeHints
	inFlight   *shard.Map[siskin.TargetID, *atomic.Int32]
	rankings   *shard.Map[rankingKey, *ranking]

	// What follows is used only if the deployment has more than one priority.
	reach   *reachability
	times   *targetTimes
	returns *returnTimes

	// shutdown is nil until a planned stop begins. finishing is set when
	// sessions end whether a transaction is open or not.
	shutdown  atomic.Pointer[home.Shutdown]
	finishing atomic.Bool

	mu       sync.Mutex
	sessions map[*Session]struct{}
	stopped  bool
}

// New returns an Entry without sessions.
func New(cfg Config) *Entry {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Entry{
		cfg: cfg, logLimiter: newLogLimiter(), writeHints: newWriteHints(), inFlight: shard.New[siskin.TargetID, *atomic.Int32](),
		reach: newReachability(), times: newTargetTimes(), returns: newReturnTimes(cfg.Clock.Now(), cfg.Random),
		rankings: shard.New[rankingKey, *ranking](), sessions: make(map[*Session]struct{}),
	}
}

// Serve runs the session of a caller in the background.
func (e *Entry) Serve(c siskin.CallerConn) {
	s := &Session{e: e, c: c}
	e.mu.Lock()
	if e.stopped {
		e.mu.Unlock()
		_ = c.Close() // the VM is stopping; the caller reconnects to another one
		return
	}
	defer e.mu.Unlock()
	e.sessions[s] = struct{}{}
	e.cfg.Metrics.Sessions.Inc(1)
	e.done.Go(s.serve) // before Close waits
}

func (e *Entry) remove(s *Session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s)
}

// Sessions returns the number of open sessions.
func (e *Entry) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// EndSessions asks up to n more sessions to end and returns the number of open
// sessions. An idle session ends at once, a busy one after its current
// statement or transaction.
func (e *Entry) EndSessions(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.sessions {
		if n == 0 {
			break
		}
		if s.draining.Swap(true) {
			continue
		}
		n--
		// A session that begins a statement in the meantime checks draining
		// when the statement is done.
		if !s.busy.Load() && !s.inTx.Load() {
			s.c.Interrupt()
		}
	}
	return len(e.sessions)
}

// Close closes all sessions and waits for them.
func (e *Entry) Close() error {
	e.mu.Lock()
	e.stopped = true
	for s := range e.sessions {
		_ = s.c.Close()
	}
	e.mu.Unlock()
	e.done.Wait()
	return nil
}

func (e *Entry) inFlightCounter(id siskin.TargetID) *atomic.Int32 {
	return e.inFlight.GetOrCreate(id, func() *atomic.Int32 { return new(atomic.Int32) })
}

func (e *Entry) statementStarted(id siskin.TargetID) { e.inFlightCounter(id).Add(1) }

func (e *Entry) statementEnded(id siskin.TargetID) { e.inFlightCounter(id).Add(-1) }

// running returns the number of statements of this VM in flight at a target.
func (e *Entry) running(id siskin.TargetID) int { return int(e.inFlightCounter(id).Load()) }

// handleReadError tells the caller why its message was not read, unless the
// connection has ended.
func (e *Entry) handleReadError(s *Session, err error) {
	a := siskin.Answer{Message: err.Error()}
	switch kind := siskin.KindOf(err); {
	case isNormalClose(err):
		return
	case kind == siskin.BadInput || kind == siskin.TooLarge:
		a.Code = siskin.Malformed
	case kind == siskin.Overloaded:
		a.Code = siskin.Busy
	default:
		return
	}
	_ = s.c.Refuse(a.Code, a.Message) // the session ends in either case
	e.recordRefusedSession(s, &a)
}

// recordRefusedSession logs and counts a session that was refused or broke the
// protocol.
func (e *Entry) recordRefusedSession(s *Session, a *siskin.Answer) {
	e.cfg.Metrics.countRefusal(a.Code)
	e.cfg.Log.Info().Str("Database", logs.Clip(s.database)).Stringer("Code", a.Code).
		Uint64("Revision", uint64(e.cfg.Table.Snapshot().Version)).Msg("session refused")
}

// recordOperation logs and counts the answer to an operation.
func (e *Entry) recordOperation(o *operation, a *siskin.Answer) {
	took := e.cfg.Clock.Since(o.start)
	e.cfg.Metrics.recordOperation(o, a, took)
	entry, suppressed, ok := e.logLimiter.next(e.cfg.Log, a.Code == siskin.Succeeded)
	if !ok {
		return
	}
	entry = entry.Str("RequestID", logs.Clip(string(o.st.ID))).Stringer("Kind", o.st.Kind).Stringer("Code", a.Code).
		Str("Database", logs.Clip(o.s.database)).Str("Customer", string(o.customer)).
		Str("Target", string(o.target)).Str("Home", string(o.reply.Home)).Int("Attempts", o.attempts).Str("Reason", o.reason).
		Dur("Took", took).Dur("Waited", o.reply.Waited).Dur("Ran", o.reply.Ran).
		Uint64("Revision", uint64(e.cfg.Table.Snapshot().Version))
	if o.reply.Conn > 0 {
		entry = entry.Uint64("Conn", uint64(o.reply.Conn)).Int("Exchange", o.reply.Exchange).Str("Signature", logs.Clip(a.Signature))
	}
	if o.st.Kind == siskin.Execute {
		entry = entry.Str("Shape", shapeDigest(o.s.prepared[o.st.Name]))
	}
	if suppressed > 0 {
		entry = entry.Int64("Suppressed", suppressed)
	}
	if o.route != nil {
		lead := e.cfg.Views.LatestProof(o.route.Service)
		entry = entry.Str("Primary", string(lead.Target)).Dur("LeadAge", min(e.cfg.Clock.Since(lead.At), time.Hour))
	}
	entry.Msg("request finished")
}

// shapeDigest identifies a prepared statement in logs, which hold no text of
// callers.
func shapeDigest(p home.Prepared) string {
	mode := "Read"
	if p.Writes {
		mode = "Write"
	}
	return mode + "/" + strconv.FormatUint(xxhash.Sum64String(p.Shape), 16)
}
