package node

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/token"
)

// Config holds the settings and dependencies of a Node. Fields without a
// default must be set.
type Config struct {
	Self  siskin.VM
	Clock siskin.Clock
	Log   *log.Logger

	// Config is the configuration in force at this VM.
	Config  config.View
	Members siskin.Members
	Peers   siskin.Peers
	Limiter siskin.Limiter
	// Platform stores the records of primaries; nil means that none are written.
	Platform siskin.Platform
	Keys     siskin.Authenticator
	Tokens   *token.Codec

	// Caller and Forward accept callers and transactions of other VMs.
	Caller, Forward net.Listener
	// CallerTLS, PeerTLS and TargetTLS are nil where connections are not
	// encrypted, which is allowed on loopback only.
	CallerTLS, PeerTLS, TargetTLS *tls.Config

	// ProbeInterval is the time between two probes of a target; zero means the
	// default of package group.
	ProbeInterval time.Duration
	// Limits bound callers; zero values mean the defaults of package front.
	Limits front.Limits
	// Memory bounds the messages of callers that are read as a whole. It may be nil.
	Memory *memory.Account
	// Awake reports whether this VM may use its roles. It is false after a pause
	// until the VM has heard from its peers and Resume returned; nil means
	// always.
	Awake func() bool
	// Observer is notified of each transaction that ended; nil means nobody.
	Observer front.Observer
	// Dial replaces net.Dialer.DialContext for connections to targets and
	// forward addresses when it is set.
	Dial siskin.DialFunc
}
