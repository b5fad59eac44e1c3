package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// Config holds the settings that a Client and a Server share.
type Config struct {
	// Self is the id of this VM.
	Self siskin.VMID
	// TLS is used in both directions. It may be nil on loopback addresses, and
	// with Plaintext.
	TLS *tls.Config
	// Plaintext allows connections without TLS outside of loopback. It is meant
	// for a network that only the deployment uses.
	Plaintext bool
	// MaxMessage bounds one frame; zero means 4 MB.
	MaxMessage siskin.Bytes
	// KeepaliveTimeout is the time without a response to calls and pings after
	// which a connection is replaced; zero means 2.5 s, since unresponsive
	// connections must be detected within 3 s.
	KeepaliveTimeout time.Duration
	// IdleTimeout is the time without a call after which a connection is closed;
	// zero means 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection; zero means 2 s.
	DialTimeout time.Duration
	// MaxConcurrent bounds the handlers that run at once, and MaxQueued the
	// requests that wait for one; zero means 64 and 1024.
	MaxConcurrent, MaxQueued int
	// MaxConns bounds the connections of peers to a Server; zero means 4096.
	MaxConns int
	// Memory bounds the frames that arrive, wait and are sent. It may be nil.
	Memory *memory.Account
	// Disconnected is called when a VM has closed a connection of a Client, as
	// it does when its process ends. It must not block, and may be nil.
	Disconnected func(siskin.VMID)
	// Log receives the panics of handlers; nil means log.DefaultLogger.
	Log *log.Logger
	// Drop is a fault injection hook for tests: a frame from one VM to another
	// is dropped if it returns true. See Links.
	Drop func(from, to siskin.VMID) bool
}

func (cfg *Config) setDefaults() {
	if cfg.Log == nil {
		cfg.Log = &log.DefaultLogger
	}
	setDefault(&cfg.MaxMessage, 4<<20)
	setDefault(&cfg.KeepaliveTimeout, 2500*time.Millisecond)
	setDefault(&cfg.IdleTimeout, 30*time.Second)
	setDefault(&cfg.DialTimeout, 2*time.Second)
	setDefault(&cfg.MaxConcurrent, 64)
	setDefault(&cfg.MaxQueued, 1024)
	setDefault(&cfg.MaxConns, 4096)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// dropped reports whether Drop drops a frame.
func (cfg *Config) dropped(from, to siskin.VMID) bool {
	return cfg.Drop != nil && cfg.Drop(from, to)
}

// checkAddress rejects addresses outside of loopback that would be used without
// TLS, unless Plaintext is set.
func (cfg *Config) checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return siskin.NewError(siskin.BadInput, "peer address %q is not an IP address and port", address).WithRemedy("use the form 10.0.0.1:7000")
	}
	if cfg.TLS == nil && !cfg.Plaintext && !ip.IsLoopback() {
		return siskin.NewError(siskin.BadInput, "peer address %s requires TLS", address).WithRemedy("set the certificates of the peer connection")
	}
	return nil
}
