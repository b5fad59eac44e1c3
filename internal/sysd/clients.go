package sysd

import (
	"cmp"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"siskintray.example/siskin/internal/connlimit"
	"siskintray.example/siskin/internal/memory"
)

const (
	// defaultUnstarted is Caller.MaxUnstarted if that is not set.
	defaultUnstarted = 512
	// maxReservedFiles is the number of descriptors that are kept for targets, peers,
	// the store and operators, or a quarter of the limit if that is less.
	maxReservedFiles = 800
	// minPeerConns is enough for two connections with each of 66 VMs twice over,
	// while a rolling upgrade replaces them.
	minPeerConns = 256
	// peerFileDivisor divides the limit on descriptors to give the connections that
	// peers may open.
	peerFileDivisor = 8
)

// limitClients creates the bounds on what clients make this VM hold.
func (n *node) limitClients() {
	size := cmp.Or(n.cfg.VM.MessageMemory, memory.SizeFor(n.cfg.VM.Memory))
	lines := rate.NewLimiter(1, 5) // a crowd causes thousands of refusals a second
	n.memory = memory.New(size, memory.WithRefusals(func(r memory.Refusal) {
		if lines.Allow() {
			n.log.Warn().Stringer("Bound", r.Bound).Str("Customer", string(r.Customer)).Int64("Size", int64(r.Size)).
				Int64("Used", int64(r.Used)).Msg("refused memory for a message")
		}
	}))
	n.unstarted = connlimit.NewOldest(min(cmp.Or(n.cfg.Caller.MaxUnstarted, defaultUnstarted), n.maxSessions()/2))
}

// fileLimit returns the number of descriptors that the process may open.
func fileLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return 1 << 20
	}
	return int(limit.Cur)
}

// maxSessions returns how many sessions leave enough descriptors for the rest.
func (n *node) maxSessions() int {
	files := fileLimit()
	return max(1, min(n.cfg.Caller.MaxSessions, files-min(maxReservedFiles, files/4)))
}

func (n *node) maxPeerConns() int { return max(minPeerConns, fileLimit()/peerFileDivisor) }

const (
	// probeConns is the number of connections of a server for probes or metrics; the
	// oldest is closed when there are more.
	probeConns = 64
	// probeHeader is the size of the largest request header, in bytes.
	probeHeader = 4 << 10
	// probeTimeout is the time for a request and its response.
	probeTimeout = 5 * time.Second
)

// newProbeServer returns an HTTP server whose clients hold little.
func newProbeServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: dialTimeout, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: 2 * probeTimeout, MaxHeaderBytes: probeHeader,
	}
	connlimit.LimitServer(s, probeConns)
	return s
}

// updateClientGauges publishes what clients hold and which bound refused them.
func (n *node) updateClientGauges() {
	scope := n.stats.Scope()
	scope.Gauge("message_memory").Update(float64(n.memory.Used()))
	scope.Gauge("sessions_closed_before_start").Update(float64(n.unstarted.Closed()))
	for b, count := range n.memory.Refused() {
		scope.Tagged(map[string]string{"bound": b.String()}).Gauge("message_memory_refused").Update(float64(count))
	}
}
