package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// Server is one running stand-in target.
type Server struct {
	cfg   Config
	log   *log.Logger
	clock siskin.Clock
	store *store.Store
	fault faults
	stats stats

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	clientListener net.Listener
	streamListener net.Listener
	admin          *http.Server
	adminAddress   string

	mu       sync.Mutex
	peers    map[siskin.TargetID]string
	sessions map[uint32]*session
	streams  map[net.Conn]struct{}
	lastID   atomic.Uint32
}

// Start starts a stand-in target. Close ends it.
func Start(cfg Config, opts ...Option) (*Server, error) {
	cfg.setDefaults()
	s := &Server{
		cfg: cfg, clock: clockwork.NewRealClock(), log: &log.Logger{Level: log.PanicLevel},
		peers: make(map[siskin.TargetID]string), sessions: make(map[uint32]*session),
		streams: make(map[net.Conn]struct{}),
	}
	s.SetPeers(cfg.Peers)
	s.stats.slots = make([]slotCount, cfg.Slots)
	for _, opt := range opts {
		opt(s)
	}
	if s.store == nil {
		s.store = store.New(cfg.ID, store.Leader{ID: cfg.Primary, Term: 1})
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.fault.init(cfg)
	if err := s.listen(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	s.start(func() { s.accept(s.clientListener, s.serveClient) })
	s.start(func() { s.accept(s.streamListener, s.serveStream) })
	s.start(s.runFollower)
	s.start(s.runApply)
	return s, nil
}

func (s *Server) listen() (err error) {
	if s.clientListener, err = listen(s.cfg.Address); err != nil {
		return err
	}
	if s.streamListener, err = listen(s.cfg.ReplicationAddress); err != nil {
		return err
	}
	if s.cfg.AdminAddress == "" {
		return nil
	}
	l, err := listen(s.cfg.AdminAddress)
	if err != nil {
		return err
	}
	s.adminAddress = l.Addr().String()
	s.admin = &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
	s.start(func() { _ = s.admin.Serve(l) }) // returns when Close closes it
	return nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, siskin.NewError(siskin.Unavailable, "cannot listen on %s", address).
			WithRemedy("choose a free loopback address").WithCause(err)
	}
	return l, nil
}

func (s *Server) start(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

func (s *Server) accept(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return // the listener was closed
		}
		s.start(func() {
			defer conn.Close()
			serve(conn)
		})
	}
}

// Close ends all connections and waits for everything the server started.
func (s *Server) Close() error {
	s.cancel()
	for _, l := range []net.Listener{s.clientListener, s.streamListener} {
		if l != nil {
			l.Close()
		}
	}
	if s.admin != nil {
		s.admin.Close()
	}
	s.CutClients()
	s.cutStreams()
	s.wg.Wait()
	return nil
}

// ID returns the target's id.
func (s *Server) ID() siskin.TargetID { return s.cfg.ID }

// Address returns the address of the PostgreSQL listener.
func (s *Server) Address() string { return s.clientListener.Addr().String() }

// ReplicationAddress returns the address that replicas connect to.
func (s *Server) ReplicationAddress() string { return s.streamListener.Addr().String() }

// AdminAddress returns the address of the admin server, if one runs.
func (s *Server) AdminAddress() string { return s.adminAddress }

// Store returns the target's state, for tests that inspect or restart it.
func (s *Server) Store() *store.Store { return s.store }

// SetPeers sets the replication addresses of the group's targets.
func (s *Server) SetPeers(peers map[siskin.TargetID]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, address := range peers {
		s.peers[id] = address
	}
}

// sleep waits for d and reports false when the server was closed first.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
