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

// Spread holds the configuration in force at this VM and spreads changes. It
// implements config.View.
type Spread struct {
	*store
	cfg          Config
	clock        siskin.Clock
	members      siskin.Members
	peers        siskin.Peers
	platform     siskin.Platform
	status       *status
	accepted     *accepted
	pool         pond.Pool
	proofTracker ProofTracker
	logf         func(format string, args ...any)

	platformDown atomic.Bool // the last question as a watcher failed
	proved       atomic.Bool // there was a proof of knowing the newest revision

	loadMu  sync.Mutex // one catch-up with the platform at a time
	applyMu sync.Mutex // one change by this VM at a time
	fetchMu sync.Mutex // guards busy, and orders submit before Close
	busy    map[siskin.VMID]bool

	ctx  context.Context // ends at Close
	stop context.CancelFunc
	done sync.WaitGroup
}

var _ config.View = (*Spread)(nil)

// Option changes a Spread.
type Option func(*Spread)

// WithClock sets the clock.
func WithClock(clock siskin.Clock) Option { return func(s *Spread) { s.clock = clock } }

// WithLogf sets the function that receives messages about failed calls.
func WithLogf(logf func(format string, args ...any)) Option {
	return func(s *Spread) { s.logf = logf }
}

// New returns a view without documents. Receiver must be registered as
// "Spread" at the peer server before Start.
func New(cfg Config, members siskin.Members, peers siskin.Peers, platform siskin.Platform, opts ...Option) *Spread {
	cfg.setDefaults()
	s := &Spread{
		store: newStore(), cfg: cfg, clock: clockwork.NewRealClock(),
		members: members, peers: peers, platform: platform,
		status: newStatus(), accepted: newAccepted(), busy: make(map[siskin.VMID]bool),
		pool:         pond.NewPool(16, pond.WithQueueSize(256), pond.WithNonBlocking(true)),
		proofTracker: noProofTracker{}, logf: func(string, ...any) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Start loads the configuration, from peers or the platform, and begins to
// exchange revisions.
func (s *Spread) Start() {
	s.done.Go(s.exchangeLoop)
	s.done.Go(s.watchLoop)
	s.done.Go(s.probeLoop)
	s.done.Go(s.snapshotLoop)
}

// Close ends all exchanges and waits for them.
func (s *Spread) Close() error {
	s.fetchMu.Lock()
	s.stop()
	s.fetchMu.Unlock()
	s.done.Wait()
	return nil
}

// submit runs a task in the background. A full pool drops it: exchanges make
// up for a push or fetch that was left out.
func (s *Spread) submit(task func()) bool {
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.done.Add(1)
	err := s.pool.Go(func() {
		defer s.done.Done()
		task()
	})
	if err != nil {
		s.done.Done()
	}
	return err == nil
}

// call invokes a method of a peer with the usual deadline.
func (s *Spread) call(vm siskin.VMID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.peers.Call(ctx, vm, method, args, reply)
}

// others returns the live VMs without this one, split by data centre.
func (s *Spread) others() (near, far []siskin.VM) {
	self := s.members.Self()
	for _, vm := range s.members.Live() {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre == self.DataCentre:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	return near, far
}

func pick(vms []siskin.VM) siskin.VMID { return vms[rand.IntN(len(vms))].ID }
