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

	mu    sync.Mutex // guards core and changed
	core  *core
	pause uint64 // number of pauses so far

	live     atomic.Pointer[[]siskin.VM]
	all      *shard.Map[siskin.VMID, siskin.VM]
	changed  atomic.Pointer[chan struct{}]
	beat     atomic.Int64 // wall clock of the last turn of the loop
	resuming atomic.Bool
	over     atomic.Bool // this run is superseded

	wake chan struct{}
	pool pond.Pool
	ctx  context.Context // ends at Close
	stop context.CancelFunc
	done sync.WaitGroup
}

var _ siskin.Members = (*Members)(nil)

// maxWait is the longest time between two turns of the loop.
const maxWait = 500 * time.Millisecond

// Option changes a Members.
type Option func(*Members)

// WithClock sets the clock.
func WithClock(clock siskin.Clock) Option { return func(m *Members) { m.clock = clock } }

// WithPlatform joins the view with the platform's list of VMs.
func WithPlatform(p siskin.Platform) Option { return func(m *Members) { m.platform = p } }

// WithResumed sets a function that is called after a pause of this VM, once
// the suspicions of it are refuted and peers were asked for news. MayUseRoles
// is false until it returns, so that roles lost during the pause are not used.
func WithResumed(f func(gap time.Duration)) Option { return func(m *Members) { m.onResumed = f } }

// WithSuperseded sets a function that is called when this run of the VM is
// over: the platform lists it as gone or a later run exists.
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
	m.beat.Store(now.UnixNano())
	m.core = newCore(cfg, now)
	m.publish()
	return m
}

// Start begins to probe and to read the platform's list.
func (m *Members) Start() {
	m.beat.Store(m.clock.Now().UnixNano())
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

// Address returns the peer address of a VM, as internal/peer needs it.
func (m *Members) Address(id siskin.VMID) (string, bool) {
	vm, ok := m.all.Get(id)
	return vm.PeerAddress, ok && vm.PeerAddress != ""
}

// Changed implements siskin.Members.
func (m *Members) Changed() <-chan struct{} { return *m.changed.Load() }

// MayUseRoles reports whether roles may be used: it is false from a pause of
// this VM until it has asked its peers and the function of WithResumed
// returned, and for good when this run is superseded. A VM that reaches no peer
// waits for them at most 2 s.
func (m *Members) MayUseRoles() bool {
	return !m.resuming.Load() && !m.over.Load() && m.gap(m.clock.Now()) < maxWait+m.cfg.PauseThreshold
}

// gap returns the time on the wall clock since the last turn of the loop. The
// monotonic clock can stand still while a VM is suspended.
func (m *Members) gap(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - m.beat.Load())
}

// publish makes the changes of the core visible. It is called under mu.
func (m *Members) publish() {
	if len(m.core.touched) == 0 {
		return
	}
	for _, id := range m.core.touched {
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
	m.core.touched = m.core.touched[:0]
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

// Leave announces that this VM takes no new work. It returns when a member
// knows, or with the error of the context.
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
			return siskin.NewError(siskin.Unavailable, "no member answered the announcement of leaving").WithCause(ctx.Err()).WithRemedy("stop anyway; the others find out by their probes")
		case <-m.clock.After(m.cfg.PushInterval):
		}
	}
	return nil
}

// Close tells the successors that this VM has stopped, ends all probes and
// waits for them.
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
