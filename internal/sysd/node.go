package sysd

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/connlimit"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/elect"
	"siskintray.example/siskin/internal/entry"
	"siskintray.example/siskin/internal/feed"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/memory"
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
	// reservedConns is the number of connections of a target that its home
	// leaves to a new home, to control statements and to VMs that cannot reach
	// the home. The connections of a VM that vanished count for 3 s.
	reservedConns = 4
	// nonHomeConns is the number of connections that a VM opens to a target if
	// another VM is its home.
	nonHomeConns = 2
	// peerSilentAfter is the time without received data after which a
	// connection to a peer is replaced.
	peerSilentAfter = 900 * time.Millisecond
	peerDialTimeout = 400 * time.Millisecond
	// maxPeerCalls limits the calls of peers that run at this VM, and those
	// that wait.
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
	leases *lease.Leases
	memory *memory.Account
	// unstarted are the callers that have not finished START.
	unstarted *connlimit.Oldest

	peers      *peer.Client
	peerServer *peer.Server
	callers    net.Listener
	servers    []*http.Server

	stopping atomic.Bool
	// isolation is used only by maintain; isolated mirrors it for the
	// readiness probe.
	isolation isolation
	isolated  atomic.Bool
	started   time.Time
	done      sync.WaitGroup
}

// newNode creates a VM and begins to serve.
func newNode(cfg *cfgini.System, l *log.Logger) (*node, error) {
	n := &node{cfg: cfg, log: l, table: table.New(), views: views.New(), stats: stats.New()}
	n.started = n.clock.Now()
	n.roster = roster.New()
	n.limitClients()
	if bound := cfg.Operator.EvacuateWithin; bound > 0 {
		n.roster.RequireEvacuations(bound)
	}
	dialer := newDialer()
	n.homes = home.New(home.Config{
		Clock: n.clock, Views: n.views, Target: n.roster.Target, Limit: n.connLimit,
		MayBeCold: n.mayBeCold, AdmitCold: n.admitCold,
		Closed:    func(id siskin.TargetID) bool { return n.roster.Blocked(id, n.clock.Now()) },
		IsHome:    func(t siskin.TargetInfo) bool { return n.path != nil && n.path.IsHome(t) },
		Connector: &platform.Connector{Dial: dialer.DialContext, Memory: n.memory}, Memory: n.memory, LeaseConfig: n.leaseConfig(),
		Lateness: n.lateness, Log: l, Metrics: home.NewMetrics(n.stats.Scope()),
	})
	if err := n.joinFleet(); err != nil {
		return nil, errors.Join(err, n.homes.Close(), n.stats.Close())
	}
	n.entry = entry.New(entry.Config{
		Clock: n.clock, Self: n.crew.Self(), Table: n.table, Roster: n.roster, Views: n.views,
		Homes: n.path, Limiter: n.rates, Live: n.crew.Live, Probe: n.probeTarget, Log: l, Metrics: entry.NewMetrics(n.stats.Scope()),
		Memory: n.memory,
	})
	n.useStore(dialer)
	if err := n.listen(); err != nil {
		return nil, errors.Join(err, n.close())
	}
	return n, nil
}

// leaseConfig returns the configuration with which homes tell the current
// primary from a former one.
func (n *node) leaseConfig() *home.LeaseConfig {
	n.leases = lease.New()
	return &home.LeaseConfig{
		Leases: n.leases, Fencing: n.cfg.Promoter.Fencing, Targets: n.roster.Service, GroupSize: n.roster.Size, Listed: n.runStart, Log: n.log,
		Covered: n.coverDepartures, ListState: n.listState, Settled: n.settled,
		Status: func(ctx context.Context, id siskin.TargetID) (home.Observation, error) {
			return n.path.Observe(ctx, id)
		},
		Service: func(name siskin.ServiceName) (siskin.ServiceSpec, bool) {
			if s, ok := n.table.Snapshot().Service(name); ok {
				return *s, true
			}
			return siskin.ServiceSpec{}, false
		},
	}
}

// clockMargin is subtracted from the age of a run if it is computed from the
// start time in the target's entry, since the clock of the target may differ
// from that of this VM.
const clockMargin = 10 * time.Second

// runStart returns since when a target has been running according to service
// discovery, and when the latest list was requested. The start time in the
// target's entry is used only for runs that were in the first list of this VM.
// Later runs began when they first appeared in a list.
func (n *node) runStart(id siskin.TargetID) (since, listed time.Time, ok bool) {
	since, listed, first, ok := n.roster.ListedSince(id)
	if t, known := n.roster.Target(id); ok && first && known && t.StartedAt.UnixMilli() > 0 {
		if born := n.clock.Now().Add(clockMargin - time.Since(t.StartedAt)); born.Before(since) {
			since = born
		}
	}
	return since, listed, ok
}

// joinFleet creates the components that connect this VM to its peers.
func (n *node) joinFleet() error {
	cfg := peer.Config{
		Self: siskin.VMID(n.cfg.VM.ID), Plaintext: true, KeepaliveTimeout: peerSilentAfter, DialTimeout: peerDialTimeout,
		MaxConcurrent: maxPeerCalls, MaxQueued: maxPeerCalls, Log: n.log, Memory: n.memory, MaxConns: n.maxPeerConns(),
		// A ping tells at once whether the process of the VM has ended.
		Disconnected: func(id siskin.VMID) { n.crew.PingNow(id) },
	}
	server, err := peer.Listen(cfg, n.cfg.Peer.Address)
	if err != nil {
		return err
	}
	n.peerServer, n.peers = server, peer.NewClient(cfg, nil)
	run := siskin.Incarnation(time.Now().UnixNano())
	n.crew = crew.New(crew.Config{
		Clock: n.clock, Seeds: n.cfg.Peer.Seeds, Peers: n.peers, Table: n.table, Roster: n.roster, Views: n.views,
		Homes: n.homes, Apply: n.apply, Log: n.log, StopGrace: n.cfg.Stop.Grace, PriorityPeers: n.priorityPeers, IsHome: n.isHome,
		Self: crew.Node{
			ID: siskin.VMID(n.cfg.VM.ID), Run: run, DataCentre: siskin.DataCentreID(n.cfg.VM.DataCentre),
			Address: cmp.Or(n.cfg.Peer.Advertised, n.cfg.Peer.Address), Capacity: n.cfg.VM.Capacity(),
		},
	})
	n.peers.SetLookup(n.crew.Address)
	n.path = path.New(path.Config{Clock: n.clock, Crew: n.crew, Roster: n.roster, Views: n.views, Homes: n.homes, Peers: n.peers, Log: n.log, Status: platform.ParseStatus})
	n.rates = quota.New(quota.Config{
		Clock: n.clock, Run: run, Table: n.table, Members: n.crew, Peers: n.peers, Log: n.log, PingNow: n.crew.PingNow,
	})
	return nil
}

func (n *node) isHome(id siskin.TargetID) bool {
	t, ok := n.roster.Target(id)
	return ok && n.path.IsHome(t)
}

// priorityPeers returns the VMs that this VM depends on.
func (n *node) priorityPeers() crew.PriorityPeers {
	peers := crew.PriorityPeers{PoolOwners: make(map[siskin.VMID]bool)}
	if n.rates.Share() > 0 { // a VM without a share exchanges no loans
		for _, id := range n.rates.PoolOwners() {
			peers.PoolOwners[id] = true
		}
	}
	self := n.crew.Self().ID
	peers.ServesOthers = slices.Contains(n.rates.PoolOwners(), self)
	targets, _, _ := n.roster.Listed()
	for i := 0; i < len(targets) && !peers.ServesOthers; i++ {
		peers.ServesOthers = n.path.IsHome(targets[i])
	}
	peers.Homes, peers.StandbyFor = n.path.PrimaryHomes(n.table.Snapshot().Services)
	return peers
}

// maxStoreHeader is the size of the largest header of a response of the store or the
// promoter, in bytes.
const maxStoreHeader = 64 << 10

// useStore starts the components that use the platform's store and promoter.
func (n *node) useStore(dialer *net.Dialer) {
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxStoreHeader}}
	store := &platform.Store{BaseURL: "http://" + n.cfg.Store.Address, HTTP: client, Timeout: n.cfg.Store.Timeout, OnEra: n.logEra}
	changed := n.stats.Scope().Timer("primary_change")
	n.elect = elect.Start(elect.Config{
		Clock: n.clock, Members: n.crew, Peers: n.peers, Table: n.table, Roster: n.roster, Views: n.views, Homes: n.homes, ListState: n.listState,
		Leases: n.leases, Fencing: n.cfg.Promoter.Fencing, Store: store, Run: n.crew.Node().Run, Status: platform.ParseStatus, Log: n.log, Changed: changed.Record,
		Promoter: &platform.Promoter{BaseURL: "http://" + n.cfg.Promoter.Address, HTTP: client, Timeout: n.cfg.Promoter.Timeout},
	})
	var evacuations siskin.ObjectKind
	if n.cfg.Operator.EvacuateWithin > 0 {
		evacuations = platform.KindEvacuations
	}
	n.feed = feed.Start(feed.Config{
		Clock: n.clock, Store: store, Log: n.log, Table: n.table, Roster: n.roster, Crew: n.crew, Apply: n.apply, Rights: n.rates,
		ConfigKind: platform.KindConfig, ConfigName: platform.ConfigName, TargetKind: platform.KindTargets, ParseTarget: platform.DecodeTarget, EvacuationKind: evacuations,
	})
}
