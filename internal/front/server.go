package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/shard"
)

// Server accepts callers.
type Server struct {
	cfg      Config
	limits   atomic.Pointer[Limits]
	log      *logs.Requests
	sessions *shard.Map[uint16, *session]
	requests atomic.Uint64
	counts   counts

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	stopping  bool
	listeners []net.Listener
	conns     map[net.Conn]struct{} // all connections, those in start-up included
	lastID    uint16
}

// New returns a Server and starts its sweep of withdrawn keys.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: logs.NewRequests(cfg.Clock, cfg.Log), sessions: shard.New[uint16, *session](), conns: make(map[net.Conn]struct{})}
	s.SetLimits(cfg.Limits)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.requests.Store(requestBase(cfg.VM))
	s.wg.Add(1)
	go s.checkKeysLoop()
	return s
}

// Serve accepts callers until l is closed.
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
			return err
		}
		if !s.track(conn) {
			conn.Close()
			continue
		}
		go s.serveConn(conn, func() { s.untrack(conn) })
	}
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An eighth more than the sessions may be in start-up, so that a full VM
	// can still tell callers that it is full.
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

// register gives the session an id that no other session of this VM has.
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

// errStopping is what sessions are told when this VM stops. Its SQLSTATE is
// 57P01.
var errStopping = siskin.NewError(siskin.NotRun, "this VM is stopping").WithRemedy("connect again; another VM answers")

// Close stops accepting, ends idle sessions, waits until ctx ends for running
// transactions and closes what is left.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	for _, l := range s.listeners {
		_ = l.Close() // Accept reports it
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
		_ = conn.Close() // the session reports it
	}
	s.mu.Unlock()
	<-done
}

// checkKeysLoop ends the sessions whose key was withdrawn, idle ones included.
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

// CheckKeys ends the sessions whose key was withdrawn. It runs twice a second
// and may be called when a withdrawal arrives.
func (s *Server) CheckKeys() {
	s.sessions.Range(func(_ uint16, c *session) bool {
		if err := c.checkKey(); err != nil {
			c.end(asError(err), true)
		}
		return true
	})
}
