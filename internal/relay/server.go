package relay

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/phuslu/log"

	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/shard"
	"siskintray.example/siskin/pkg/token"
)

// startupTimeout limits the startup of a connection from a peer.
const startupTimeout = 5 * time.Second

// Server accepts the transactions that other VMs forward to this one.
type Server struct {
	home   *Home
	tokens *token.Codec
	tls    *tls.Config
	log    *logs.RequestLogger

	ctx    context.Context
	cancel context.CancelFunc
	conns  *shard.Map[uint32, *peerConn]
	wg     sync.WaitGroup
	panics atomic.Int64
	mu     sync.Mutex
	closed bool
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithLog sets the logger for requests that fail on this VM. They are logged
// with their IDs at the VMs that forward them.
func WithLog(l *log.Logger) ServerOption {
	return func(s *Server) { s.log = logs.NewRequestLogger(s.home.Clock, l) }
}

// NewServer returns a Server that runs transactions at home. If cfg is not nil,
// peers must use TLS and present the certificates that it requires.
func NewServer(home *Home, tokens *token.Codec, cfg *tls.Config, opts ...ServerOption) *Server {
	s := &Server{home: home, tokens: tokens, tls: cfg, log: logs.NewRequestLogger(home.Clock, nil), conns: shard.New[uint32, *peerConn]()}
	for _, opt := range opts {
		opt(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if s.tls != nil {
			conn = tls.Server(conn, s.tls)
		}
		if !s.addConn() {
			return conn.Close()
		}
		go func() {
			defer s.wg.Done()
			s.serveConn(conn)
		}()
	}
}

// ServeConn serves a connection until it ends. The caller has already done the
// TLS handshake, if any.
func (s *Server) ServeConn(conn net.Conn) {
	if !s.addConn() {
		conn.Close()
		return
	}
	defer s.wg.Done()
	s.serveConn(conn)
}

func (s *Server) addConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// Close ends idle connections, waits until ctx ends for transactions in
// progress and closes the remaining connections.
func (s *Server) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.conns.Range(func(_ uint32, c *peerConn) bool {
		c.closeIdle()
		return true
	})
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
	s.conns.Range(func(_ uint32, c *peerConn) bool {
		c.conn.Close()
		return true
	})
	<-done
}

// Panics returns the number of connections that ended by a panic.
func (s *Server) Panics() int64 { return s.panics.Load() }

// recoverPanic ends one connection after a panic. The forwarding VM sees the
// connection end and reports the outcome of its transaction as unknown. If conn
// points to nil, the panic came before the startup was complete.
func (s *Server) recoverPanic(conn **peerConn) {
	v := recover()
	if v == nil {
		return
	}
	s.panics.Add(1)
	c := *conn
	var q logs.Request
	if c != nil {
		q = c.logFields()
	}
	Recovered(v).Report(s.log, q, "a connection of a VM ended by a fault of this program")
	if c != nil {
		c.abort()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	var c *peerConn
	defer s.recoverPanic(&c)
	if conn.SetDeadline(time.Now().Add(startupTimeout)) != nil {
		return
	}
	be := pgproto3.NewBackend(conn, conn)
	msg, err := be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch msg := msg.(type) {
	case *pgproto3.CancelRequest:
		if c, ok := s.conns.Get(msg.ProcessID); ok {
			c.cancelStatement(msg.SecretKey)
		}
	case *pgproto3.StartupMessage:
		if msg.Parameters["user"] != peerUser {
			return
		}
		c = newPeerConn(s, conn)
		s.conns.Put(c.id, c)
		defer s.conns.Delete(c.id)
		be.Send(&pgproto3.AuthenticationOk{})
		be.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
		be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if be.Flush() == nil {
			c.serve()
		}
	}
}

func newSecret() []byte {
	b := make([]byte, 4)
	_, _ = rand.Read(b) // never fails
	return b
}

func newID() uint32 { return binary.BigEndian.Uint32(newSecret()) }
