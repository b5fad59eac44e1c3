package target

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin/pkg/config"
)

// Faults are the settings of a target's faults. They are also the body of the
// admin address's /faults.
type Faults struct {
	// AnswerDelay, LinkDelay and ApplyLag are as in Config.
	AnswerDelay, LinkDelay, ApplyLag config.Duration
	// RefuseClients closes new client connections at once.
	RefuseClients bool
	// Silent accepts connections and bytes of clients and answers nothing.
	Silent bool
	// Paused stops all work, replication included.
	Paused bool
	// CutReplication refuses and ends replication in both directions.
	CutReplication bool
	Leaving        bool
	// LoseAnswers maps a statement's tag, such as "siskin_claim" or "COMMIT",
	// to the number of next answers to lose after the change took effect: the
	// connection ends in place of the answer.
	LoseAnswers map[string]int
}

// faults guards the present Faults. The channel changed is closed at each
// change.
type faults struct {
	mu      sync.Mutex
	now     Faults
	changed chan struct{}
}

func (f *faults) init(cfg Config) {
	f.changed = make(chan struct{})
	f.now = Faults{
		AnswerDelay: cfg.AnswerDelay, LinkDelay: cfg.LinkDelay, ApplyLag: cfg.ApplyLag,
		LoseAnswers: make(map[string]int),
	}
}

func (f *faults) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

func (f *faults) set(change func(*Faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.now)
	if f.now.LoseAnswers == nil {
		f.now.LoseAnswers = make(map[string]int)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// loseAnswer reports whether the answer to a statement with this tag is to be
// lost, and counts it.
func (f *faults) loseAnswer(tag string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers[tag] == 0 {
		return false
	}
	f.now.LoseAnswers[tag]--
	return true
}

// waitWhile waits while stopped returns true for the present faults.
func (f *faults) waitWhile(ctx context.Context, stopped func(Faults) bool) error {
	for {
		now, changed := f.get()
		if !stopped(now) {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func paused(f Faults) bool { return f.Paused }

// Faults returns the present faults.
func (s *Server) Faults() Faults {
	now, _ := s.fault.get()
	return now
}

// SetFaults changes the faults and applies their immediate effects.
func (s *Server) SetFaults(change func(*Faults)) {
	s.fault.set(change)
	now, _ := s.fault.get()
	if now.CutReplication {
		s.cutStreams()
	}
	if s.store.Status(s.clock.Now()).Leaving != now.Leaving {
		s.store.SetLeaving(now.Leaving)
	}
}

// SetDelay adds d before each answer to a client.
func (s *Server) SetDelay(d time.Duration) {
	s.SetFaults(func(f *Faults) { f.AnswerDelay = config.Duration(d) })
}

// SetRefuse closes new client connections at once.
func (s *Server) SetRefuse(on bool) { s.SetFaults(func(f *Faults) { f.RefuseClients = on }) }

// SetSilent keeps all connections open and answers nothing.
func (s *Server) SetSilent(on bool) { s.SetFaults(func(f *Faults) { f.Silent = on }) }

// SetPaused stops all work, replication included.
func (s *Server) SetPaused(on bool) { s.SetFaults(func(f *Faults) { f.Paused = on }) }

// SetLeaving marks the target as leaving.
func (s *Server) SetLeaving(on bool) { s.SetFaults(func(f *Faults) { f.Leaving = on }) }

// CutReplication cuts the target off from the other targets.
func (s *Server) CutReplication(on bool) { s.SetFaults(func(f *Faults) { f.CutReplication = on }) }

// SetLag sets the delays of received and applied records.
func (s *Server) SetLag(receive, apply time.Duration) {
	s.SetFaults(func(f *Faults) { f.LinkDelay, f.ApplyLag = config.Duration(receive), config.Duration(apply) })
}

// LoseAnswers loses the next n answers to statements with the given tag.
func (s *Server) LoseAnswers(tag string, n int) {
	s.SetFaults(func(f *Faults) { f.LoseAnswers[tag] = n })
}

// CutClients ends all client connections.
func (s *Server) CutClients() {
	s.eachSession(func(c *session) { c.close() })
}

// SilenceOpen makes the connections that are open now silent for good, while
// new ones work.
func (s *Server) SilenceOpen() {
	s.eachSession(func(c *session) { c.silent.Store(true) })
}

// Restart ends all connections at once and goes on with the state of the log,
// as a database does that crashed and recovered.
func (s *Server) Restart() {
	s.store.EndSessions()
	s.CutClients()
	s.cutStreams()
}

func (s *Server) eachSession(f func(*session)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.sessions {
		f(c)
	}
}

func (s *Server) cutStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.streams {
		conn.Close()
	}
}
