package front

import (
	"time"

	"siskintray.example/siskin"
)

// Limits bound what callers may do. They can change while the server runs.
type Limits struct {
	// MaxConnections bounds the caller connections, DefaultMaxConnections when
	// zero. A lower bound ends no open connection.
	MaxConnections int
	// StartupTimeout bounds the time from accepting to the end of the
	// authentication, DefaultStartupTimeout when zero.
	StartupTimeout time.Duration
	// MaxMessage bounds one message of a caller, DefaultMaxMessage when zero.
	MaxMessage siskin.Bytes
}

const (
	// DefaultMaxConnections leaves room above the 7,500 client connections that
	// a node carries at the planned size.
	DefaultMaxConnections = 10_000
	// DefaultStartupTimeout is far above any handshake and ends callers that
	// connect and send nothing.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultMaxMessage is far above usual statements. Larger data is sent with
	// COPY, in messages of its own.
	DefaultMaxMessage siskin.Bytes = 16 << 20
)

func (l Limits) withDefaults() *Limits {
	if l.MaxConnections == 0 {
		l.MaxConnections = DefaultMaxConnections
	}
	l.MaxConnections = min(l.MaxConnections, maxSessions)
	if l.StartupTimeout == 0 {
		l.StartupTimeout = DefaultStartupTimeout
	}
	if l.MaxMessage == 0 {
		l.MaxMessage = DefaultMaxMessage
	}
	return &l
}

// SetLimits replaces the limits. Those of a connection in start-up and of a
// message that is being read stay as they were.
func (s *Server) SetLimits(l Limits) { s.limits.Store(l.withDefaults()) }

// Limits returns the limits in force.
func (s *Server) Limits() Limits { return *s.limits.Load() }
