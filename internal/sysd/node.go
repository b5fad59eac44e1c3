package sysd

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/elect"
	"siskintray.example/siskin/internal/entry"
	"siskintray.example/siskin/internal/feed"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/path"
	"siskintray.example/siskin/internal/peer"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/stats"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
)

const (
	// reserveConns is the number of a target's connections that its home leaves
	// to a successor, to control statements and to VMs that cannot reach the
	// home. The connections of a VM that vanished count for 3 s.
	reserveConns = 4
	// guestConns is the number of connections that a VM opens to a target whose
	// home it is not.
	guestConns = 2
	// peerSilentAfter is the silence after which a connection to a peer is
	// replaced.
	peerSilentAfter = 900 * time.Millisecond
	peerDialTimeout = 400 * time.Millisecond
	// maxPeerCalls bounds the statements of peers that wait or run at this VM.
	maxPeerCalls = 2048
)

// node is one running VM.
type node struct {
	cfg    *cfgini.System
	log    *log.Logger
	clock  boot.Clock
	table  *table.Table
	roster *roster.Roster
	views  *views.Views
	homes  *home.Homes
	crew   *crew.Crew
	path   *path.Path
	rates  *quota.Limiter
	entry  *entry.Entry
	elect  *elect.Elector
	feed   *feed.Feed
	stats  *stats.Stats

	peers      *peer.Client
	peerServer *peer.Server
	callers    net.Listener
	servers    []*http.Server

	stopping atomic.Bool
	started  time.Time
	done     sync.WaitGroup
}

// newNode builds a VM and begins to serve.
func newNode(cfg *cfgini.System, l *log.Logger) (*node, error) {
	n := &node{cfg: cfg, log: l, table: table.New(), views: views.New(), stats: stats.New()}
	n.started = n.clock.Now()
	n.roster = roster.New()
	dialer := newDialer()
	n.homes = home.New(home.Config{
		Clock: n.clock, Views: n.views, Target: n.roster.Target, Limit: n.connLimit,
		IsHome:    func(t siskin.TargetInfo) bool { return n.path != nil && n.path.IsHome(t) },
		Connector: &platform.Connector{Dial: dialer.DialContext},
	})
	if err := n.joinFleet(); err != nil {
		return nil, errors.Join(err, n.homes.Close(), n.stats.Close())
	}
	n.entry = entry.New(entry.Config{
		Clock: n.clock, Self: n.crew.Self(), Table: n.table, Roster: n.roster, Views: n.views,
		Homes: n.path, Limiter: n.rates, Log: l, Metrics: entry.NewMetrics(n.stats.Scope()),
	})
	n.useStore(dialer)
	if err := n.listen(); err != nil {
		return nil, errors.Join(err, n.close())
	}
	return n, nil
}

// joinFleet starts what connects this VM to its peers.
func (n *node) joinFleet() error {
	cfg := peer.Config{
		Self: siskin.VMID(n.cfg.VM.ID), Plaintext: true, SilentAfter: peerSilentAfter, DialTimeout: peerDialTimeout,
		MaxConcurrent: maxPeerCalls, MaxQueued: maxPeerCalls,
	}
	server, err := peer.Listen(cfg, n.cfg.Peer.Address)
	if err != nil {
		return err
	}
	n.peerServer, n.peers = server, peer.NewClient(cfg, nil)
	run := siskin.Incarnation(time.Now().UnixNano())
	n.crew = crew.New(crew.Config{
		Clock: n.clock, Seeds: n.cfg.Peer.Seeds, Peers: n.peers, Table: n.table, Roster: n.roster, Views: n.views,
		Homes: n.homes, Apply: n.apply, Log: n.log, Close: n.closePeers, IsHome: n.isHome,
		Self: crew.Node{
			ID: siskin.VMID(n.cfg.VM.ID), Run: run, DataCentre: siskin.DataCentreID(n.cfg.VM.DataCentre), Address: n.cfg.Peer.Address,
		},
	})
	n.peers.SetLookup(n.crew.Address)
	n.path = path.New(path.Config{Clock: n.clock, Crew: n.crew, Roster: n.roster, Views: n.views, Homes: n.homes, Peers: n.peers})
	n.rates = quota.New(quota.Config{
		Clock: n.clock, Run: run, Table: n.table, Members: n.crew, Peers: n.peers, Log: n.log,
	})
	return nil
}

func (n *node) isHome(id siskin.TargetID) bool {
	t, ok := n.roster.Target(id)
	return ok && n.path.IsHome(t)
}

// closePeers returns the VMs that this one depends on: the homes of primaries,
// whose pings bring floors for reads, and the holders of pools of rates.
func (n *node) closePeers() map[siskin.VMID]bool {
	near := n.path.PrimaryHomes(n.table.Snapshot().Services)
	for _, id := range n.rates.Owners() {
		near[id] = true
	}
	return near
}

// useStore starts what depends on the platform's store and duties.
func (n *node) useStore(dialer *net.Dialer) {
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4}}
	store := &platform.Store{Base: "http://" + n.cfg.Store.Address, HTTP: client, Timeout: n.cfg.Store.Timeout}
	changed := n.stats.Scope().Timer("primary_change")
	n.elect = elect.Start(elect.Config{
		Clock: n.clock, Members: n.crew, Peers: n.peers, Table: n.table, Roster: n.roster, Views: n.views, Homes: n.homes,
		Store: store, Run: n.crew.Nodes()[0].Run, Status: platform.ParseStatus, Log: n.log, Changed: changed.Record,
		Promoter: &platform.Promoter{Base: "http://" + n.cfg.Promoter.Address, HTTP: client, Timeout: n.cfg.Promoter.Timeout},
	})
	n.feed = feed.Start(feed.Config{
		Clock: n.clock, Store: store, Log: n.log, Table: n.table, Roster: n.roster, Crew: n.crew, Apply: n.apply, Holders: n.rates.SetHolders, Known: n.rates.Holders,
		ConfigKind: platform.KindConfig, ConfigName: platform.ConfigName, TargetKind: platform.KindTargets, Target: platform.DecodeTarget,
	})
}

// listen opens the listeners and serves them.
func (n *node) listen() error {
	for name, receiver := range map[string]any{
		"Crew": n.crew.Receiver(), "Home": n.path.Receiver(), "Quota": n.rates.Receiver(), "Elect": n.elect.Receiver(),
	} {
		if err := n.peerServer.Register(name, receiver); err != nil {
			return err
		}
	}
	n.peerServer.Serve()
	n.crew.Start(n.rates)
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.stats)
	if err := errors.Join(
		n.serveHTTP(n.cfg.Ready.Address, platform.Readiness(n.ready)),
		n.serveHTTP(n.cfg.Metrics.Address, metrics),
	); err != nil {
		return err
	}
	l, err := net.Listen("tcp", n.cfg.Caller.Address)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "cannot listen on %s", n.cfg.Caller.Address).WithCause(err).WithRemedy("set Caller.Address to a free address of this VM")
	}
	n.callers = l
	n.done.Go(n.accept)
	n.done.Go(n.maintain)
	return nil
}

func (n *node) serveHTTP(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return siskin.NewError(siskin.BadInput, "cannot listen on %s", address).WithCause(err).WithRemedy("set the address to a free one of this VM")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: dialTimeout}
	n.servers = append(n.servers, s)
	n.done.Go(func() { _ = s.Serve(l) }) // ends with the server's Close
	return nil
}

// accept takes callers until the listener is closed.
func (n *node) accept() {
	for {
		conn, err := n.callers.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			n.log.Warn().Err(err).Msg("a caller was not accepted")
			time.Sleep(acceptPause)
			continue
		case n.entry.Sessions() >= n.cfg.Caller.MaxSessions:
			n.log.Warn().Int("Sessions", n.cfg.Caller.MaxSessions).Msg("a caller was turned away: too many sessions")
			_ = conn.Close() // nothing was read from it
			continue
		}
		n.entry.Serve(platform.NewCaller(conn))
	}
}

// acceptPause keeps a VM without free descriptors from a busy loop.
const acceptPause = 20 * time.Millisecond

// apply puts an encoded configuration in force if it is newer.
func (n *node) apply(encoded []byte, source string) {
	d, err := platform.DecodeDeployment(encoded)
	if err != nil {
		n.log.Error().Err(err).Str("Source", source).Msg("a configuration was refused")
		return
	}
	before := n.table.Snapshot().Version
	if n.table.Apply(d, encoded) {
		n.log.Info().Uint64("Before", uint64(before)).Uint64("Revision", uint64(d.Version)).Str("Source", source).
			Int("Routes", len(d.Routes)).Int("Customers", len(d.Customers)).Msg("configuration in force")
		for i := range d.Customers {
			c := &d.Customers[i]
			n.log.Info().Str("Customer", string(c.ID)).Int("Keys", len(c.Keys)).Float64("Rate", float64(c.Rate)).
				Float64("Burst", float64(c.Burst)).Msg("customer in force")
		}
	}
}

// connLimit returns the most connections that this VM opens to a target.
func (n *node) connLimit(t siskin.TargetInfo) int {
	limit := guestConns + reserveConns + 1
	if s, ok := n.table.Snapshot().Service(t.Service); ok && s.MaxConnections > 0 {
		limit = s.MaxConnections
	}
	if n.path != nil && !n.path.IsHome(t) {
		return guestConns
	}
	return max(1, limit-reserveConns)
}

// ready reports whether this VM can serve callers. A VM that is merely cut off
// from the store stays ready.
func (n *node) ready() bool {
	version, _ := n.roster.Version()
	return !n.stopping.Load() && n.table.Snapshot().Version > 0 && version > 0
}

// maintainInterval is the time between two rounds of upkeep.
const maintainInterval = 500 * time.Millisecond

// maintain brings homes up to date with the fleet and discovery.
func (n *node) maintain() {
	known := make(map[siskin.TargetID]siskin.TargetInfo)
	for !n.stopped() {
		members, targets, deployment := n.crew.Changed(), n.roster.Changed(), n.table.Changed()
		n.homes.Update()
		select {
		case <-members:
		case <-targets:
			known = n.noteTargets(known)
		case <-deployment:
		case <-n.clock.After(maintainInterval):
		}
		n.gauges()
	}
}

// noteTargets logs what changed in discovery, and takes a target that begins to
// see itself as primary as a hint.
func (n *node) noteTargets(known map[siskin.TargetID]siskin.TargetInfo) map[siskin.TargetID]siskin.TargetInfo {
	next := make(map[siskin.TargetID]siskin.TargetInfo, len(known))
	for _, s := range n.table.Snapshot().Services {
		for _, t := range n.roster.Service(s.Name) {
			next[t.ID] = t
			old, ok := known[t.ID]
			if ok && old == t {
				continue
			}
			n.log.Info().Str("Target", string(t.ID)).Str("Service", string(t.Service)).Str("Address", t.Address).
				Bool("Primary", t.Primary).Bool("Draining", t.Draining).Time("Born", t.Born).Msg("a target's entry changed")
			if t.Primary && (!ok || !old.Primary || !old.Born.Equal(t.Born)) {
				n.views.Hint(t.Service, t.ID)
			}
		}
	}
	for id := range known {
		if _, ok := next[id]; !ok {
			n.log.Info().Str("Target", string(id)).Msg("a target is gone")
		}
	}
	return next
}

func (n *node) gauges() {
	c := n.homes.Counts()
	scope := n.stats.Scope()
	scope.Gauge("target_connections").Update(float64(c.Open))
	scope.Gauge("target_connections_opened").Update(float64(c.Opened))
	scope.Gauge("statements_waiting").Update(float64(c.Waiting))
	scope.Gauge("transactions_open").Update(float64(c.Transactions))
	scope.Gauge("sessions").Update(float64(n.entry.Sessions()))
	scope.Gauge("vms_live").Update(float64(len(n.crew.Live())))
	scope.Gauge("revision").Update(float64(n.table.Snapshot().Version))
}
