package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
)

// Node is one running VM.
type Node struct {
	cfg       Config
	homes     *homes
	queues    *queues
	slots     *slots
	groups    *groups
	remote    *remoteViews
	pool      *pool.Pool
	home      *relay.Home
	forwarder *relay.Forwarder
	server    *relay.Server
	front     *front.Server
	started   time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts a VM. Close ends it.
func Start(cfg Config) (*Node, error) {
	dialer, err := pool.NewPGDialer(cfg.TargetTLS)
	if err != nil {
		return nil, err
	}
	dialer.Open = cfg.Open
	n := &Node{cfg: cfg, started: cfg.Clock.Now()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.homes = newHomes(cfg.Members)
	n.queues = newQueues(cfg.Clock)
	n.groups = newGroups(cfg, n.homes, n.primaryChanged,
		func(s siskin.ServiceName, v *siskin.GroupView) { n.home.Observe(s, v) })
	n.remote = newRemoteViews(cfg.Self.ID, cfg.Clock, cfg.Peers, n.homes, cfg.Config)
	n.pool = pool.New(cfg.Clock, dialer, pool.WithFailure(n.groups.suspect), pool.WithReachable(n.groups.reachable))
	n.groups.silent = n.pool.ProbeFailed
	n.slots = &slots{self: cfg.Self.ID, homes: n.homes, pool: n.pool, queues: n.queues}
	n.home = (&relay.Home{
		Clock:   cfg.Clock,
		Config:  cfg.Config,
		Groups:  n.groups,
		Keys:    cfg.Keys,
		Limiter: cfg.Limiter,
		Queues:  n.queues,
		Pool:    n.pool,
	}).Init()
	n.forwarder = relay.NewForwarder(cfg.Clock, cfg.PeerTLS, cfg.Open)
	n.server = relay.NewServer(n.home, cfg.Tokens, cfg.PeerTLS)
	n.update()
	n.front = n.newFront()
	n.serve()
	return n, nil
}

// primaryChanged ends what belongs to the primaries of a service before the
// given term.
func (n *Node) primaryChanged(name siskin.ServiceName, term siskin.Term) {
	if service, ok := n.cfg.Config.Service(name); ok {
		n.pool.PrimaryChanged(func(id siskin.TargetID) bool {
			return slices.ContainsFunc(service.Targets, func(t config.Target) bool { return t.ID == id })
		})
	}
	n.home.EndOlder(name, term)
}

func (n *Node) newFront() *front.Server {
	cfg := n.cfg
	return front.New(front.Config{
		VM:             cfg.Self.ID,
		Clock:          cfg.Clock,
		Config:         cfg.Config,
		Keys:           cfg.Keys,
		Topology:       &topology{self: cfg.Self, homes: n.homes, groups: n.groups, remote: n.remote},
		Home:           n.home,
		Forwarder:      n.forwarder,
		Tokens:         cfg.Tokens,
		Budgets:        retry.NewBudgets(),
		Cancels:        &cancels{members: cfg.Members, peers: cfg.Peers},
		TLS:            cfg.CallerTLS,
		Observer:       cfg.Observer,
		Log:            cfg.Log,
		MaxConnections: cfg.MaxConnections,
		StartupTimeout: cfg.StartTimeout,
	})
}

// serve accepts callers and forwarded transactions and follows changes of the
// configuration and the fleet.
func (n *Node) serve() {
	n.wg.Go(func() {
		n.awaitConfig()
		_ = n.front.Serve(n.cfg.Caller) // ends when the listener closes
	})
	n.wg.Go(func() { _ = n.server.Serve(n.cfg.Forward) }) // ends when the listener closes
	n.wg.Go(n.follow)
}

func (n *Node) follow() {
	for {
		members, view := n.cfg.Members.Changed(), n.cfg.Config.Changed()
		n.update()
		select {
		case <-members:
		case <-view:
		case <-n.ctx.Done():
			return
		}
	}
}

// update starts the groups before the slots, so that a slot has its group when
// the first transaction arrives.
func (n *Node) update() {
	if n.ctx.Err() != nil {
		return
	}
	n.groups.update(n.cfg.Config)
	n.slots.update(n.cfg.Config)
}

// Receivers returns the net/rpc receivers of the node by their names.
func (n *Node) Receivers() map[string]any {
	return map[string]any{
		"Group": &groupReceiver{groups: n.groups},
		"Node":  &nodeReceiver{node: n},
	}
}

// Group returns the group of a service that this VM watches.
func (n *Node) Group(service siskin.ServiceName) (siskin.Group, bool) { return n.groups.Group(service) }

// CheckKeys ends the sessions whose key was withdrawn.
func (n *Node) CheckKeys() { n.front.CheckKeys() }

// Close stops the VM: it stops accepting callers, ends idle sessions, waits
// until ctx ends for transactions in progress, its own callers' first, and
// closes what is left.
func (n *Node) Close(ctx context.Context) {
	_ = n.cfg.Caller.Close() // ends the accept loop
	n.front.Close(ctx)
	_ = n.cfg.Forward.Close()
	n.server.Close(ctx)
	n.forwarder.Close(ctx)
	n.cancel()
	n.wg.Wait()
	n.remote.close()
	n.pool.Close(ctx)
	n.groups.close()
}

// OwnsSlot reports whether this VM is the home of a slot of the target.
func (n *Node) OwnsSlot(target siskin.TargetID) bool {
	for _, key := range n.pool.Owned() {
		if key.Target == target {
			return true
		}
	}
	return false
}
