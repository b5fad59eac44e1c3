package front

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/relay"
)

// serveConn runs the start-up of one connection and starts its session. It
// calls ended after the connection is closed.
func (s *Server) serveConn(conn net.Conn, ended func()) {
	finish := func() {
		_ = conn.Close() // the connection ends in any case
		ended()
	}
	c := s.startSession(conn)
	s.starting.Remove(conn)
	if c == nil {
		finish()
		return
	}
	c.finish = func() {
		c.memory.Release()
		finish()
	}
	go c.loop()
}

// startSession runs the start-up within its timeout. It returns nil when the
// caller was refused or sent a cancel request.
func (s *Server) startSession(conn net.Conn) *session {
	if conn.SetDeadline(time.Now().Add(s.Limits().StartupTimeout)) != nil {
		return nil
	}
	c, err := s.negotiate(conn)
	if err != nil {
		if e := new(siskin.Error); errors.As(err, &e) {
			s.counts.refused[e.Kind].Add(1)
		}
		s.log.Failed(logs.Request{}, asError(err), "caller refused at start-up")
		return nil
	}
	return c
}

// maxStartupMessages limits the messages up to the start-up message: one for
// TLS, one for GSS and the start-up message itself.
const maxStartupMessages = 3

// negotiate answers messages up to the start-up message and opens the session.
// It returns nil when the message was a cancel request.
func (s *Server) negotiate(conn net.Conn) (c *session, err error) {
	defer func() {
		if v := recover(); v != nil {
			s.reportPanic(v, logs.Request{})
			c, err = nil, refuse(conn, errInternal)
		}
	}()
	_, secure := conn.(*tls.Conn)
	for range maxStartupMessages {
		raw, err := readStartup(conn)
		if err != nil {
			return nil, refuse(conn, err)
		}
		switch code := raw.code(); code {
		case codeSSL:
			if conn, err = s.answerTLS(conn, secure); err != nil {
				return nil, err
			}
			_, secure = conn.(*tls.Conn)
		case codeGSS:
			if _, err := conn.Write([]byte("N")); err != nil {
				return nil, err
			}
		case codeCancel:
			if id, secret, ok := raw.cancel(); ok {
				s.cancelRequest(id, secret)
			}
			return nil, nil
		default:
			return s.openSession(conn, raw, secure)
		}
	}
	return nil, refuse(conn, siskin.NewError(siskin.BadInput, "too many requests before the start-up message").
		WithRemedy("send one SSLRequest at most"))
}

func (s *Server) answerTLS(conn net.Conn, secure bool) (net.Conn, error) {
	if s.cfg.TLS == nil || secure {
		_, err := conn.Write([]byte("N"))
		return conn, err
	}
	if _, err := conn.Write([]byte("S")); err != nil {
		return nil, err
	}
	t := tls.Server(conn, s.cfg.TLS)
	return t, t.Handshake()
}

// refuse sends a FATAL error to the caller and returns it.
func refuse(conn net.Conn, err error) error {
	e := asError(err)
	if b, encodeErr := relay.ErrorResponse("FATAL", e).Encode(nil); encodeErr == nil {
		_, _ = conn.Write(b) // the connection ends in any case
	}
	return e
}

// asError returns the siskin.Error in err's chain, or wraps err in one.
func asError(err error) *siskin.Error {
	var e *siskin.Error
	if errors.As(err, &e) {
		return e
	}
	return siskin.NewError(siskin.BadInput, "connection failed").WithRemedy("connect again").WithCause(err)
}

// openSession authenticates the caller, registers the session and completes the
// start-up.
func (s *Server) openSession(conn net.Conn, raw startupPacket, secure bool) (*session, error) {
	params, err := raw.parameters()
	if err != nil {
		return nil, refuse(conn, err)
	}
	c := newSession(s, conn)
	if raw.code() != pgproto3.ProtocolVersion30 {
		// A client with a newer minor version is offered the one that this
		// server supports.
		if err := c.w.Message(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30}); err != nil {
			return nil, err
		}
	}
	if err := c.configure(params); err != nil {
		return nil, refuse(conn, err)
	}
	if err := c.authenticate(secure || isLoopback(conn)); err != nil {
		return nil, refuse(conn, err)
	}
	if err := s.register(c); err != nil {
		return nil, refuse(conn, err)
	}
	started := false
	defer func() {
		if !started {
			s.sessions.Delete(c.id)
		}
	}()
	if err := c.completeStartup(); err != nil {
		return nil, err
	}
	started = true
	return c, nil
}

func isLoopback(conn net.Conn) bool {
	a, ok := conn.LocalAddr().(*net.TCPAddr)
	return ok && a.IP.IsLoopback()
}
