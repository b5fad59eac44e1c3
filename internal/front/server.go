package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/connlimit"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/shard"
)

// maxStarting is the number of connections in start-up; the oldest is closed when
// there are more, so that callers are served beside others that send nothing.
const maxStarting = 1024

// Server accepts client connections and runs their sessions.
type Server struct {
	cfg      Config
	limits   atomic.Pointer[Limits]
	log      *logs.RequestLogger
	sessions *shard.Map[uint16, *session]
	requests atomic.Uint64
	counts   counts

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// starting are the connections in start-up.
	starting *connlimit.Oldest

	mu        sync.Mutex
	stopping  bool
	listeners []net.Listener
	conns     map[net.Conn]struct{} // all open connections, including those in start-up
	lastID    uint16
}

// New returns a Server and starts its periodic key check.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: logs.NewRequestLogger(cfg.Clock, cfg.Log), sessions: shard.New[uint16, *session](), conns: make(map[net.Conn]struct{}), starting: connlimit.NewOldest(maxStarting)}
	s.SetLimits(cfg.Limits)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.requests.Store(requestBase(cfg.VM))
	s.wg.Add(1)
	go s.checkKeysLoop()
	return s
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			if s.isStopping() {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			// Most likely there are no free descriptors; sessions that end free some.
			s.log.Failed(logs.Request{}, asError(err), "cannot accept a caller")
			time.Sleep(acceptBackoff)
			continue
		}
		if !s.track(conn) {
			conn.Close()
			continue
		}
		s.starting.Add(conn) // in the order of their accept
		go s.serveConn(conn, func() { s.untrack(conn) })
	}
}

// acceptBackoff is the pause after a failed accept, which avoids a busy loop.
const acceptBackoff = 20 * time.Millisecond

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Connections in start-up may exceed the session limit by an eighth, so
	// that a VM at its limit can still send callers the error.
	limit := s.Limits().MaxConnections
	if s.stopping || len(s.conns) > limit+limit/8+16 {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	defer s.wg.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// register adds the session under an id that no other session of this VM has.
func (s *Server) register(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return errStopping
	}
	if limit := s.Limits().MaxConnections; s.sessions.Len() >= limit {
		return siskin.NewError(siskin.Overloaded, "this VM has its maximum of %d connections", limit).
			WithRemedy("connect to another VM or close connections that are not used")
	}
	for {
		s.lastID++
		if _, used := s.sessions.Get(s.lastID); !used && s.lastID != 0 {
			break
		}
	}
	c.id = s.lastID
	s.sessions.Put(c.id, c)
	return nil
}

// errStopping is the error that sessions receive when this VM stops. Its
// SQLSTATE is 57P01.
var errStopping = siskin.NewError(siskin.NotRun, "this VM is stopping").WithRemedy("connect again; another VM answers")

// Close stops accepting connections and ends idle sessions. Running
// transactions may finish until ctx ends; then the remaining connections are
// closed.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	for _, l := range s.listeners {
		_ = l.Close() // Accept returns the error
	}
	s.mu.Unlock()
	s.sessions.Range(func(_ uint16, c *session) bool {
		c.end(errStopping, false)
		return true
	})
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close() // the session's reads and writes fail
	}
	s.mu.Unlock()
	<-done
}

// checkKeysLoop calls CheckKeys periodically until the server stops.
func (s *Server) checkKeysLoop() {
	defer s.wg.Done()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.cfg.Clock.After(keyCheckInterval):
		}
		s.CheckKeys()
	}
}

// CheckKeys ends the sessions whose key was withdrawn, idle ones included. It
// runs twice a second and may be called when a withdrawal arrives.
func (s *Server) CheckKeys() {
	s.sessions.Range(func(_ uint16, c *session) bool {
		if err := c.checkKey(); err != nil {
			c.end(asError(err), true)
		}
		return true
	})
}
