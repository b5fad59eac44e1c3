package member

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// Members is one VM's view of the fleet. It implements siskin.Members.
type Members struct {
	cfg          Config
	clock        siskin.Clock
	peers        siskin.Peers
	platform     siskin.Platform // nil without a platform
	onResumed    func(gap time.Duration)
	onSuperseded func()

	mu     sync.Mutex // guards core and pauses
	core   *core
	pauses uint64 // number of pauses so far

	live          atomic.Pointer[[]siskin.VM]
	all           *shard.Map[siskin.VMID, siskin.VM]
	changed       atomic.Pointer[chan struct{}]
	lastIteration atomic.Int64 // wall clock time of the latest iteration of the loop
	resuming      atomic.Bool  // this VM handles a pause of itself
	runEnded      atomic.Bool  // set by the loop when this run is superseded

	wake chan struct{}
	pool pond.Pool
	ctx  context.Context // ends at Close
	stop context.CancelFunc
	done sync.WaitGroup
}

var _ siskin.Members = (*Members)(nil)

// maxIterationInterval is the longest time between two iterations of the loop.
const maxIterationInterval = 500 * time.Millisecond

// Option changes a Members.
type Option func(*Members)

// WithClock sets the clock.
func WithClock(clock siskin.Clock) Option { return func(m *Members) { m.clock = clock } }

// WithPlatform merges the platform's list of VMs into the view.
func WithPlatform(p siskin.Platform) Option { return func(m *Members) { m.platform = p } }

// WithResumed sets a function that is called after a pause of this VM, once it
// has refuted suspicions and has asked its peers for their members. MayUseRoles
// returns false until f returns, so that roles lost during the pause are not
// used.
func WithResumed(f func(gap time.Duration)) Option { return func(m *Members) { m.onResumed = f } }

// WithSuperseded sets a function that is called when the other VMs regard this
// run of the VM as ended: the platform lists the VM as gone or a later run
// exists.
func WithSuperseded(f func()) Option { return func(m *Members) { m.onSuperseded = f } }

// New returns a view that knows only this VM. Receiver must be registered as
// "Member" at the peer server before Start.
func New(cfg Config, peers siskin.Peers, opts ...Option) *Members {
	cfg.setDefaults()
	m := &Members{
		cfg: cfg, clock: clockwork.NewRealClock(), peers: peers,
		onResumed: func(time.Duration) {}, onSuperseded: func() {},
		all: shard.New[siskin.VMID, siskin.VM](), wake: make(chan struct{}, 1),
		pool: pond.NewPool(32, pond.WithQueueSize(256), pond.WithNonBlocking(true)),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	changed := make(chan struct{})
	m.changed.Store(&changed)
	now := m.clock.Now()
	m.lastIteration.Store(now.UnixNano())
	m.core = newCore(cfg, now)
	m.publish()
	return m
}

// Start begins to probe and to read the platform's list.
func (m *Members) Start() {
	m.lastIteration.Store(m.clock.Now().UnixNano())
	m.done.Go(m.run)
	m.done.Go(m.maintain)
}

// Self implements siskin.Members.
func (m *Members) Self() siskin.VM {
	vm, _ := m.all.Get(m.cfg.Self.ID)
	return vm
}

// Live implements siskin.Members.
func (m *Members) Live() []siskin.VM { return *m.live.Load() }

// Lookup implements siskin.Members.
func (m *Members) Lookup(id siskin.VMID) (siskin.VM, bool) { return m.all.Get(id) }

// Address returns the peer address of a VM and whether it is known. It is the
// lookup function that internal/peer needs.
func (m *Members) Address(id siskin.VMID) (string, bool) {
	vm, ok := m.all.Get(id)
	return vm.PeerAddress, ok && vm.PeerAddress != ""
}

// Changed implements siskin.Members.
func (m *Members) Changed() <-chan struct{} { return *m.changed.Load() }

// MayUseRoles reports whether this VM may use its roles. After a pause of this
// VM it is false until the VM has asked its peers for their members and the
// function of WithResumed has returned; once this run is superseded, it is
// permanently false. A VM that reaches no peer waits for them at most 2 s.
func (m *Members) MayUseRoles() bool {
	return !m.resuming.Load() && !m.runEnded.Load() && m.gap(m.clock.Now()) < maxIterationInterval+m.cfg.PauseThreshold
}

// gap returns the wall clock time since the latest iteration of the loop. The
// monotonic clock can stop while a VM is suspended.
func (m *Members) gap(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.lastIteration.Load())
}

// publish makes the changes of the core visible to readers. The caller holds mu.
func (m *Members) publish() {
	if len(m.core.unpublished) == 0 {
		return
	}
	for _, id := range m.core.unpublished {
		r := m.core.self
		if id != r.ID {
			other, ok := m.core.members[id]
			if !ok {
				m.all.Delete(id)
				continue
			}
			r = other.Record
		}
		m.all.Put(id, r.vm())
	}
	m.core.unpublished = m.core.unpublished[:0]
	live := make([]siskin.VM, 0, m.core.rings.size())
	if !m.core.self.Leaving && !m.core.superseded {
		live = append(live, m.core.self.vm())
	}
	for _, other := range m.core.members {
		if other.up() && !other.Leaving {
			live = append(live, other.vm())
		}
	}
	slices.SortFunc(live, func(a, b siskin.VM) int { return cmp.Compare(a.ID, b.ID) })
	m.live.Store(&live)
	changed := make(chan struct{})
	close(*m.changed.Swap(&changed))
}

// Leave announces that this VM takes no new work. It returns when a member has
// acknowledged that or there is no other member, or with an error when ctx ends
// before that.
func (m *Members) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.core.leave()
	targets := m.core.successors()
	m.publish()
	m.mu.Unlock()
	for len(targets) > 0 {
		if len(m.pushAndWait(targets)) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return siskin.NewError(siskin.Unavailable, "no member acknowledged that this VM is leaving").WithCause(ctx.Err()).WithRemedy("stop anyway; the other VMs detect the stop by their probes")
		case <-m.clock.After(m.cfg.PushInterval):
		}
	}
	return nil
}

// Close announces to the successors that this VM has stopped, ends all probes
// and waits for them.
func (m *Members) Close() error {
	m.mu.Lock()
	m.core.stop()
	targets := m.core.successors()
	m.mu.Unlock()
	m.pushAndWait(targets)
	m.stop()
	m.done.Wait()
	return nil
}
