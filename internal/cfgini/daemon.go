package cfgini

import (
	"net/netip"
	"time"

	"siskintray.example/siskin"
)

// Daemon holds the settings of siskintrayd.
type Daemon struct {
	VM       VM
	Caller   Caller
	Peer     Peer
	Admin    Admin
	Platform Platform
	Token    Token
	Stop     Stop
	Log      Log
	Group    Group
}

// VM identifies the VM.
type VM struct {
	ID         string `unit:"name" doc:"Name of this VM, unique in the fleet. It survives a restart."`
	DataCentre string `unit:"name" doc:"Data centre that the VM stands in."`
}

// Caller configures the listener for callers.
type Caller struct {
	Address        string        `unit:"address" doc:"Address that callers connect to."`
	CertFile       string        `unit:"file" optional:"yes" reload:"yes" doc:"TLS certificate in PEM. Needed unless Address is on loopback, since keys travel over TLS only."`
	KeyFile        string        `unit:"file" optional:"yes" reload:"yes" doc:"Private key of CertFile in PEM."`
	MaxConnections int           `default:"10000" min:"1" max:"1000000" reload:"yes" doc:"Most caller connections open at once. Further ones are refused as not run."`
	StartTimeout   time.Duration `default:"10s" min:"100ms" max:"60s" reload:"yes" doc:"Longest time from the connection to the end of its authentication."`
	MaxMessage     siskin.Bytes  `default:"16MB" min:"32KB" max:"1GB" reload:"yes" doc:"Largest protocol message that a caller may send."`
	MessageMemory  siskin.Bytes  `default:"128MB" min:"32MB" max:"64GB" doc:"Memory for messages of the extended protocol above 32KB, which a VM reads as a whole, and their copies. Further ones are refused as not run. At least 3 times MaxMessage at the start."`
}

// Peer configures the listeners for other VMs.
type Peer struct {
	Address        string   `unit:"address" doc:"Address that takes calls of other VMs (net/rpc)."`
	ForwardAddress string   `unit:"address" doc:"Address that takes transactions forwarded by other VMs (PostgreSQL protocol)."`
	CertFile       string   `unit:"file" optional:"yes" doc:"Certificate in PEM for mutual TLS between VMs. Needed, with KeyFile and CAFile, unless both addresses are on loopback."`
	KeyFile        string   `unit:"file" optional:"yes" doc:"Private key of CertFile in PEM."`
	CAFile         string   `unit:"file" optional:"yes" doc:"Certificates in PEM that sign the certificates of VMs."`
	Seeds          []string `unit:"addresses" optional:"yes" doc:"Peer addresses of some other VMs, for a start while the platform is down."`
}

// Admin configures the listener for operators.
type Admin struct {
	Address   string `unit:"address" default:"127.0.0.1:6480" doc:"Address for operators and metrics."`
	CertFile  string `unit:"file" optional:"yes" doc:"TLS certificate in PEM. Needed, with KeyFile and CAFile, unless Address is on loopback."`
	KeyFile   string `unit:"file" optional:"yes" doc:"Private key of CertFile in PEM."`
	CAFile    string `unit:"file" optional:"yes" doc:"Certificates in PEM that sign the certificates of operators."`
	Profiling bool   `default:"no" doc:"Serves profiles of the Go runtime below /debug/pprof/."`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	Addresses       []string `unit:"addresses" doc:"Addresses of the platform's object API."`
	ReadsPerSecond  float64  `default:"20" min:"0.1" max:"2000" reload:"yes" doc:"Most reads a second by this VM. The whole fleet shares about 2,000."`
	WritesPerSecond float64  `default:"5" min:"0.1" max:"300" reload:"yes" doc:"Most writes a second by this VM. The whole fleet shares several hundred."`
}

// Token configures the keys that sign session tokens.
type Token struct {
	KeyFile         string `unit:"file" reload:"yes" doc:"Key that signs session tokens, the same on all VMs."`
	PreviousKeyFile string `unit:"file" optional:"yes" reload:"yes" doc:"Key that signed tokens before the last change of KeyFile. Its tokens are still accepted."`
}

// Stop configures the planned stop.
type Stop struct {
	Deadline time.Duration `default:"60s" min:"1s" max:"10m" reload:"yes" doc:"Longest wait for running requests at a planned stop. Below the longest deadline of a route (at most 60 s), a stop can cut requests."`
}

// Log configures the log.
type Log struct {
	Level  string `unit:"debug|info|warn|error" default:"info" reload:"yes" doc:"Lowest level that is written."`
	Format string `unit:"json|text" default:"json" doc:"Form of the lines on standard error."`
}

// Group configures the monitoring of targets.
type Group struct {
	ProbeInterval time.Duration `default:"200ms" min:"20ms" max:"1s" doc:"Time between two probes of a target. A target is suspected after 3 intervals without a response. A change needs a restart, VM by VM: all groups of a VM would start anew at once and lose what they know of their targets."`
}

func (d *Daemon) check(c *check) {
	c.requireBoth("Caller.CertFile", d.Caller.CertFile, "Caller.KeyFile", d.Caller.KeyFile)
	c.requireBoth("Peer.CertFile", d.Peer.CertFile, "Peer.KeyFile", d.Peer.KeyFile)
	c.requireBoth("Peer.CertFile", d.Peer.CertFile, "Peer.CAFile", d.Peer.CAFile)
	c.requireBoth("Admin.CertFile", d.Admin.CertFile, "Admin.KeyFile", d.Admin.KeyFile)
	c.requireBoth("Admin.CertFile", d.Admin.CertFile, "Admin.CAFile", d.Admin.CAFile)
	c.requireTLS("Caller.Address", d.Caller.Address, "Caller.CertFile", d.Caller.CertFile)
	c.requireTLS("Peer.Address", d.Peer.Address, "Peer.CertFile", d.Peer.CertFile)
	c.requireTLS("Peer.ForwardAddress", d.Peer.ForwardAddress, "Peer.CertFile", d.Peer.CertFile)
	c.requireTLS("Admin.Address", d.Admin.Address, "Admin.CertFile", d.Admin.CertFile)
	c.requireDistinctAddresses(
		namedAddress{"Caller.Address", d.Caller.Address},
		namedAddress{"Peer.Address", d.Peer.Address},
		namedAddress{"Peer.ForwardAddress", d.Peer.ForwardAddress},
		namedAddress{"Admin.Address", d.Admin.Address},
	)
	if d.Token.PreviousKeyFile != "" && d.Token.KeyFile == d.Token.PreviousKeyFile {
		c.addFinding("Token.PreviousKeyFile", "name the earlier key or remove the setting", "Token.PreviousKeyFile is the same file as Token.KeyFile")
	}
}

// requireBoth requires that two settings are given together or not at all.
func (c *check) requireBoth(a, valueA, b, valueB string) {
	if (valueA == "") == (valueB == "") || !c.allValid(a, b) {
		return
	}
	if valueA == "" {
		a, b = b, a
	}
	c.addFinding(a, "set "+b+" as well or remove "+a, "%s is set without %s", a, b)
}

// requireTLS requires TLS for an address outside loopback.
func (c *check) requireTLS(name, address, certName, cert string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Addr().IsLoopback() || cert != "" || !c.allValid(name, certName) {
		return
	}
	c.addFinding(name, "set "+certName+" or listen on a loopback address", "%s is not on loopback and has no TLS", name)
}

type namedAddress struct{ name, address string }

// requireDistinctAddresses requires that listeners do not share an address. A
// listener on the unspecified address uses its port on every address.
func (c *check) requireDistinctAddresses(all ...namedAddress) {
	for i, a := range all {
		for _, b := range all[:i] {
			x, errX := netip.ParseAddrPort(a.address)
			y, errY := netip.ParseAddrPort(b.address)
			if errX != nil || errY != nil || x.Port() != y.Port() {
				continue
			}
			if x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified() {
				c.addFinding(a.name, "give one of them another port", "%s and %s use the same port", a.name, b.name)
			}
		}
	}
}
