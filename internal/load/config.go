package load

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"siskintray.example/siskin"
)

// Config describes the callers of one run.
type Config struct {
	// VMs are the caller addresses of the VMs.
	VMs []string
	// Dial opens connections; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS is used towards the VMs; nil means none.
	TLS *tls.Config
	// KeyPrefix begins the keys that callers insert, so that runs on the same
	// table do not clash.
	KeyPrefix string
	// ReadRoute and WriteRoute are routes of every service.
	ReadRoute, WriteRoute siskin.RouteName
	// Timeout bounds one request as its caller sees it.
	Timeout time.Duration
	Seed    uint64
	Groups  []Group
}

// Group is a set of callers that are alike.
type Group struct {
	Customer siskin.CustomerID
	Key      string
	Service  siskin.ServiceName
	Callers  int
	// Rate is the rate of all callers of the group together.
	Rate siskin.RequestsPerSecond
	// WriteShare is the part of requests that are writes, 0 to 1.
	WriteShare float64
	// RoamEvery is the mean time after which a caller moves to another VM with
	// its token; zero means never.
	RoamEvery time.Duration
	// Statement replaces the read statement, such as one that runs long.
	Statement string
	// Unprepared sends each statement in one batch. By default the client
	// prepares it in a batch of its own first, which counts as a request too,
	// and does so again after each refusal.
	Unprepared bool
	// NoToken makes a caller that moves show no token. The promise then covers
	// what was acknowledged before it connected.
	NoToken bool
}
