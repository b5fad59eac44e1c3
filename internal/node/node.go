package node

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/retry"
)

// Node is one running VM.
type Node struct {
	cfg       Config
	homes     *homes
	queues    *queues
	slots     *slots
	groups    *groups
	records   *records
	remote    *remoteViews
	pool      *pool.Pool
	home      *relay.Home
	forwarder *relay.Forwarder
	server    *relay.Server
	front     *front.Server
	started   time.Time

	updateMu sync.Mutex // one update at a time
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Start starts a VM. Close stops it.
func Start(cfg Config) (*Node, error) {
	dialer, err := pool.NewPGDialer(cfg.TargetTLS)
	if err != nil {
		return nil, err
	}
	dialer.Open = cfg.Dial
	n := &Node{cfg: cfg, started: cfg.Clock.Now()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.homes = newHomes(cfg.Members)
	n.queues = newQueues(cfg.Clock)
	former := newFormerPrimaries()
	n.groups = newGroups(cfg, n.homes, func(s siskin.ServiceName, t siskin.Term) { n.home.EndWritesBefore(s, t) },
		func(s siskin.ServiceName, v *siskin.GroupView) {
			if former.isPromotedAgain(v) {
				n.pool.RetireWriters(v.Primary)
			}
			n.home.Observe(s, v)
			n.records.observe(s, v)
		})
	n.records = newRecords(cfg, n.rank)
	n.remote = newRemoteViews(cfg.Self.ID, cfg.Clock, cfg.Peers, n.homes, cfg.Config)
	n.pool = pool.New(cfg.Clock, dialer, pool.WithFailure(n.groups.reportFailure), pool.WithReachable(n.groups.reachable))
	n.groups.onSilentConns, n.groups.activity = n.pool.ProbeFailed, n.pool.Activity
	n.groups.views, n.remote.applyView = n.remote, n.groups.applyView
	n.groups.sendView = func(ctx context.Context, vm siskin.VMID, view *siskin.GroupView, service siskin.ServiceName) error {
		return cfg.Peers.Call(ctx, vm, "Group.Learn", LearnArgs{Service: service, View: *view}, &struct{}{})
	}
	n.slots = &slots{self: cfg.Self.ID, homes: n.homes, pool: n.pool, queues: n.queues}
	n.home = (&relay.Home{
		Clock:   cfg.Clock,
		Config:  cfg.Config,
		Groups:  n.groups,
		Keys:    cfg.Keys,
		Limiter: cfg.Limiter,
		Queues:  n.queues,
		Pool:    n.pool,
		Awake:   cfg.Awake,
	}).Init()
	n.forwarder = relay.NewForwarder(cfg.Clock, cfg.PeerTLS, cfg.Dial)
	n.server = relay.NewServer(n.home, cfg.Tokens, cfg.PeerTLS, relay.WithLog(cfg.Log))
	n.update()
	n.front = n.newFront()
	n.serve()
	return n, nil
}

func (n *Node) newFront() *front.Server {
	cfg := n.cfg
	return front.New(front.Config{
		VM:           cfg.Self.ID,
		Clock:        cfg.Clock,
		Config:       cfg.Config,
		Keys:         cfg.Keys,
		Topology:     &topology{self: cfg.Self, homes: n.homes, groups: n.groups, remote: n.remote},
		Home:         n.home,
		Forwarder:    n.forwarder,
		Tokens:       cfg.Tokens,
		Budgets:      retry.NewBudgets(),
		PeerCanceler: &cancels{members: cfg.Members, peers: cfg.Peers},
		TLS:          cfg.CallerTLS,
		Observer:     cfg.Observer,
		Log:          cfg.Log,
		Limits:       cfg.Limits,
		Memory:       cfg.Memory,
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
	n.wg.Go(func() { n.records.run(n.ctx) })
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

// update brings the groups and slots up to date. It starts groups before slots,
// so that a slot has its group when the first transaction arrives.
func (n *Node) update() {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.groups.update(n.cfg.Config)
	n.slots.update(n.cfg.Config)
}

// Resume updates the slots and the groups after a pause of this VM. It must
// return before the VM uses its roles again.
func (n *Node) Resume() {
	n.update()
	n.groups.running.Range(func(_ siskin.ServiceName, w *watchedGroup) bool {
		w.Resume()
		return true
	})
}

// Receivers returns the net/rpc receivers of the node by their names.
func (n *Node) Receivers() map[string]any {
	return map[string]any{
		"Group": &groupReceiver{groups: n.groups, records: n.records},
		"Node":  &nodeReceiver{node: n},
	}
}

// rank returns this VM's index among the VMs that watch a group.
func (n *Node) rank(service siskin.ServiceName) int {
	s, ok := n.cfg.Config.Service(service)
	if !ok {
		return 0
	}
	return n.groups.rank(s)
}

// Group returns the group of a service that this VM watches.
func (n *Node) Group(service siskin.ServiceName) (siskin.Group, bool) { return n.groups.Group(service) }

// CheckKeys ends the sessions whose key has been withdrawn.
func (n *Node) CheckKeys() { n.front.CheckKeys() }

// SetLimits replaces the limits on callers.
func (n *Node) SetLimits(l front.Limits) { n.front.SetLimits(l) }

// Limits returns the limits on callers in force.
func (n *Node) Limits() front.Limits { return n.front.Limits() }

// Close stops the VM. It stops accepting callers, ends idle sessions, waits for
// transactions in progress until ctx is done, those of its own callers first,
// and closes the remaining connections.
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
