package front

import (
	"crypto/tls"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
	"siskintray.example/siskin/pkg/token"
)

// Config holds what a Server needs. Fields without a default must be set.
type Config struct {
	VM        siskin.VMID
	Clock     siskin.Clock
	Config    config.View
	Keys      siskin.Authenticator
	Topology  Topology
	Home      *relay.Home
	Forwarder *relay.Forwarder
	Tokens    *token.Codec
	Budgets   *retry.Budgets
	// PeerCanceler is nil when there are no other VMs.
	PeerCanceler Canceler
	// TLS is nil when callers connect without TLS, which is allowed on loopback
	// listeners only.
	TLS *tls.Config
	// Observer is nil when no statistics of transactions are kept.
	Observer Observer
	// Memory bounds the messages that are read as a whole. It may be nil.
	Memory *memory.Account
	// Log is nil when nothing is logged.
	Log *log.Logger
	Limits
}

const (
	// MaxDeadline is the longest deadline of a route.
	MaxDeadline = 60 * time.Second

	// maxSessions is below the 65,535 session ids of 16 bits, so that a free id
	// is found quickly.
	maxSessions = 60_000
	// maxStatements and maxStatementBytes limit the prepared statements that a
	// session keeps.
	maxStatements     = 1000
	maxStatementBytes = 256 << 10
	// keyCheckInterval is the time between two checks of the keys of all sessions.
	// A withdrawn key must stop working within 3 s, which includes the time to
	// propagate the withdrawal to all VMs.
	keyCheckInterval = 500 * time.Millisecond
	// finalWriteTimeout limits the write of the last message to a caller that
	// may not read it.
	finalWriteTimeout = time.Second
)
