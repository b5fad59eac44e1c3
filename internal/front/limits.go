package front

import (
	"time"

	"siskintray.example/siskin"
)

// Limits are the limits for callers. They can change while the server runs.
type Limits struct {
	// MaxConnections limits the client connections; zero means
	// DefaultMaxConnections. Lowering it closes no open connection.
	MaxConnections int
	// StartupTimeout limits the time from accepting a connection to the end of
	// its authentication; zero means DefaultStartupTimeout.
	StartupTimeout time.Duration
	// MaxMessage limits the size of one message of a caller; zero means
	// DefaultMaxMessage.
	MaxMessage siskin.Bytes
}

const (
	// DefaultMaxConnections is above the 7,500 client connections that a node
	// serves at the planned size.
	DefaultMaxConnections = 10_000
	// DefaultStartupTimeout is far above the duration of a handshake and closes
	// connections whose caller sends nothing.
	DefaultStartupTimeout = 10 * time.Second
	// DefaultMaxMessage is far above the size of usual statements. Larger data
	// is sent with COPY, in several messages.
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

// SetLimits replaces the limits. A connection in start-up keeps its timeout,
// and a message that is being read keeps its size limit.
func (s *Server) SetLimits(l Limits) { s.limits.Store(l.withDefaults()) }

// Limits returns the current limits.
func (s *Server) Limits() Limits { return *s.limits.Load() }
