package peer

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/connlimit"
)

// Server serves calls of peers to the receivers registered at this VM.
type Server struct {
	cfg      Config
	rpc      *rpc.Server
	pool     pond.Pool
	listener net.Listener
	counters counters
	refused  atomic.Int64
	panics   atomic.Int64
	wg       sync.WaitGroup
	// unknown are the connections without a Hello.
	unknown *connlimit.Oldest

	mu     sync.Mutex
	closed bool
	conns  map[*writer]struct{}
}

// Listen returns a Server that listens on address. Call Serve after registering
// the receivers.
func Listen(cfg Config, address string) (*Server, error) {
	cfg.setDefaults()
	if err := cfg.checkAddress(address); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "cannot listen on %s", address).WithCause(err).WithRemedy("set the peer address to a free address of this VM")
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	return &Server{
		cfg: cfg, rpc: rpc.NewServer(), listener: l, unknown: connlimit.NewOldest(maxUnknown), conns: make(map[*writer]struct{}),
		pool: pond.NewPool(cfg.MaxConcurrent, pond.WithQueueSize(cfg.MaxQueued), pond.WithNonBlocking(true)),
	}, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register publishes the exported methods of receiver under the given name, as
// net/rpc describes. Arguments and replies that implement
// encoding.BinaryAppender and encoding.BinaryUnmarshaler are encoded with them if
// the peer supports it, all others as JSON.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return siskin.NewError(siskin.Internal, "cannot register %s", name).WithCause(err)
	}
	return nil
}

// Serve accepts connections in the background until Close.
func (s *Server) Serve() {
	s.wg.Go(func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				if s.isClosed() {
					return
				}
				time.Sleep(10 * time.Millisecond) // most likely out of file descriptors
				continue
			}
			s.unknown.Add(conn) // in the order of their accept
			s.wg.Go(func() { s.serveConn(conn) })
		}
	})
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// maxUnknown is the number of connections that have not sent a Hello. The oldest is
// closed when there are more.
const maxUnknown = 64

// frameTimeout is the time from the first byte of a request to its end.
const frameTimeout = 10 * time.Second

// track adds a connection and returns true unless the server is closed or has too
// many.
func (s *Server) track(w *writer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConns {
		return false
	}
	s.conns[w] = struct{}{}
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	w := newWriter(conn, &s.cfg)
	defer w.close()
	defer s.unknown.Remove(conn)
	if !s.track(w) {
		return
	}
	defer func() {
		s.mu.Lock()
		delete(s.conns, w)
		s.mu.Unlock()
	}()
	_ = conn.SetDeadline(time.Now().Add(s.cfg.DialTimeout))
	r := bufio.NewReader(conn)
	h, err := exchangeHello(conn, r, s.cfg.Self)
	s.unknown.Remove(conn)
	if err != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	s.wg.Go(w.run)
	for {
		// Clients close idle connections; the deadline is for clients that
		// disappeared without closing theirs.
		_ = conn.SetReadDeadline(time.Now().Add(s.cfg.IdleTimeout + 2*s.cfg.KeepaliveTimeout))
		size, err := readLength(r, s.cfg.MaxMessage)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Now().Add(frameTimeout))
		codec := &serverCodec{s: s, w: w, peer: h.vm}
		codec.memory.Move(s.cfg.Memory.Peers())
		codec.request, codec.size, err = readBody(r, size, &codec.memory)
		if err != nil && !errors.Is(err, errNoMemory) || codec.request.kind != requestFrame {
			codec.memory.Release()
			return
		}
		if err != nil {
			codec.refuse(refusedMemory)
			continue
		}
		s.serve(codec)
	}
}

// serve runs one request in the pool. Pings bypass the pool, so that a busy VM
// is not treated as unresponsive.
func (s *Server) serve(codec *serverCodec) {
	if codec.request.method == pingMethod {
		codec.reply(responseFrame, []byte("{}"))
		codec.memory.Release()
		return
	}
	if err := s.pool.Go(func() { s.handle(codec) }); err != nil {
		codec.refuse(refusedQueue)
	}
}

// handle runs one request. If the handler panics, the caller receives an error
// at once and the process continues, so that one message cannot crash the VM.
func (s *Server) handle(codec *serverCodec) {
	defer codec.memory.Release()
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		s.panics.Add(1)
		s.cfg.Log.Error().Str("Method", codec.request.method).Str("Peer", string(codec.peer)).
			Str("Panic", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).Msg("handler of a peer request panicked")
		codec.reply(errorFrame, []byte("the request failed by a fault of the VM; retry at another VM"))
	}()
	_ = s.rpc.ServeRequest(codec) // errors were sent to the caller
}

// Panics returns the number of requests whose handler panicked.
func (s *Server) Panics() int64 { return s.panics.Load() }

// Close stops accepting connections, closes all open ones and waits for the
// handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for w := range s.conns {
		w.close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.wg.Wait()
	s.pool.StopAndWait()
	return nil
}
