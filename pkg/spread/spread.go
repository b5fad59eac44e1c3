package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Spread holds the configuration in force at this VM and replicates changes to
// other VMs. It implements config.View.
type Spread struct {
	*store
	cfg              Config
	clock            siskin.Clock
	members          siskin.Members
	peers            siskin.Peers
	platform         siskin.Platform
	peerRevisions    *peerRevisions
	operationHistory *operationHistory
	pool             pond.Pool
	proofTracker     ProofTracker
	logf             func(format string, args ...any)

	platformDown atomic.Bool // this VM is a watcher and its last query failed
	hadProof     atomic.Bool // this VM once had a proof that its revision is the newest

	loadMu   sync.Mutex // serializes loads from the platform
	applyMu  sync.Mutex // serializes changes by this VM
	fetchMu  sync.Mutex // guards fetching, and keeps submit from adding tasks after Close
	fetching map[siskin.VMID]bool

	ctx   context.Context // canceled by Close
	stop  context.CancelFunc
	tasks sync.WaitGroup
}

var _ config.View = (*Spread)(nil)

// Option configures a Spread.
type Option func(*Spread)

// WithClock sets the clock.
func WithClock(clock siskin.Clock) Option { return func(s *Spread) { s.clock = clock } }

// WithLogf sets the function that logs failed calls.
func WithLogf(logf func(format string, args ...any)) Option {
	return func(s *Spread) { s.logf = logf }
}

// New returns a Spread without documents. Register its Receiver as "Spread" at
// the peer server before Start.
func New(cfg Config, members siskin.Members, peers siskin.Peers, platform siskin.Platform, opts ...Option) *Spread {
	cfg.setDefaults()
	s := &Spread{
		store: newStore(), cfg: cfg, clock: clockwork.NewRealClock(),
		members: members, peers: peers, platform: platform,
		peerRevisions: newPeerRevisions(), operationHistory: newOperationHistory(), fetching: make(map[siskin.VMID]bool),
		pool:         pond.NewPool(16, pond.WithQueueSize(256), pond.WithNonBlocking(true)),
		proofTracker: noProofTracker{}, logf: func(string, ...any) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start begins to load the configuration from peers or the platform and to
// exchange revisions.
func (s *Spread) Start() {
	s.tasks.Go(s.exchangeLoop)
	s.tasks.Go(s.watchLoop)
	s.tasks.Go(s.probeLoop)
	s.tasks.Go(s.snapshotLoop)
}

// Close stops all background tasks and waits for them.
func (s *Spread) Close() error {
	s.fetchMu.Lock()
	s.stop()
	s.fetchMu.Unlock()
	s.tasks.Wait()
	return nil
}

// submit runs a task in the background and reports whether it was accepted. A
// full pool drops the task, since later exchanges compensate for a missing push
// or fetch.
func (s *Spread) submit(task func()) bool {
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.tasks.Add(1)
	err := s.pool.Go(func() {
		defer s.tasks.Done()
		task()
	})
	if err != nil {
		s.tasks.Done()
	}
	return err == nil
}

// call invokes a method of a peer with the call timeout.
func (s *Spread) call(vm siskin.VMID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.peers.Call(ctx, vm, method, args, reply)
}

// others returns the other live VMs in this VM's data centre and those in other
// data centres.
func (s *Spread) others() (local, remote []siskin.VM) {
	self := s.members.Self()
	for _, vm := range s.members.Live() {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre == self.DataCentre:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	return local, remote
}

func randomVM(vms []siskin.VM) siskin.VMID { return vms[rand.IntN(len(vms))].ID }
