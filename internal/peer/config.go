package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Config holds the settings that a Client and a Server share.
type Config struct {
	// Self is the id of this VM.
	Self siskin.VMID
	// TLS is used in both directions. It may be nil on loopback addresses, and
	// with Plaintext.
	TLS *tls.Config
	// Plaintext allows connections without TLS outside of loopback. It is meant
	// for a network that belongs to the deployment alone.
	Plaintext bool
	// MaxMessage bounds one frame; zero means 4 MB.
	MaxMessage siskin.Bytes
	// KeepaliveTimeout is the time without an answer, pings included, after which a
	// connection is replaced; zero means 2.5 s. Silent connections must be
	// found within 3 s.
	KeepaliveTimeout time.Duration
	// IdleTimeout is the time without a call after which a connection is closed;
	// zero means 30 s.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection; zero means 2 s.
	DialTimeout time.Duration
	// MaxConcurrent bounds the handlers that run at once, and MaxQueued the
	// requests that wait for one; zero means 64 and 1024.
	MaxConcurrent, MaxQueued int
	// Log takes faults of handlers; nil means log.DefaultLogger.
	Log *log.Logger
	// Drop is a fault hook for tests: a frame from one VM to another is
	// dropped when it returns true. See Links.
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
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// dropped reports whether the fault hook drops a frame.
func (cfg *Config) dropped(from, to siskin.VMID) bool {
	return cfg.Drop != nil && cfg.Drop(from, to)
}

// checkAddress refuses plain connections outside of loopback.
func (cfg *Config) checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return siskin.NewError(siskin.BadInput, "peer address %q is no IP number and port", address).WithRemedy("write it as in 10.0.0.1:7000")
	}
	if cfg.TLS == nil && !cfg.Plaintext && !ip.IsLoopback() {
		return siskin.NewError(siskin.BadInput, "peer address %s needs TLS", address).WithRemedy("set the certificates of the peer connection")
	}
	return nil
}
