package pool

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// Pool manages the connections of all slots that this VM owns.
type Pool struct {
	clock     siskin.Clock
	dialer    Dialer
	onFailure func(siskin.TargetID, error)
	reachable func(siskin.TargetID) bool
	slots     *shard.Map[Key, *slot]
	detectors *shard.Map[siskin.TargetID, *silenceDetector]

	ctx     context.Context
	cancel  context.CancelFunc
	openers pond.Pool
	probers pond.Pool
	wg      sync.WaitGroup
}

// Option configures a Pool.
type Option func(*Pool)

// WithFailure sets a function that is called after a failed opening or a silent
// connection, such as one that calls Group.ReportFailure. It must not block.
func WithFailure(f func(target siskin.TargetID, cause error)) Option {
	return func(p *Pool) { p.onFailure = f }
}

// WithReachable sets a function that reports whether a target answers on other
// connections, such as the control connections. Requests that wait on an
// unreachable target from which nothing was received for some time are ended.
func WithReachable(f func(target siskin.TargetID) bool) Option {
	return func(p *Pool) { p.reachable = f }
}

// maxWorkers limits the concurrent openings, and the concurrent probes.
const maxWorkers = 256

// New returns an empty Pool and starts its maintenance.
func New(clock siskin.Clock, dialer Dialer, opts ...Option) *Pool {
	p := &Pool{clock: clock, dialer: dialer, slots: shard.New[Key, *slot](), detectors: shard.New[siskin.TargetID, *silenceDetector]()}
	for _, o := range opts {
		o(p)
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.openers, p.probers = pond.NewPool(maxWorkers), pond.NewPool(maxWorkers)
	p.wg.Add(1)
	go p.maintain()
	return p
}

// start runs f on a worker. After Close, f does not run.
func (p *Pool) start(workerPool pond.Pool, f func()) { _ = workerPool.Go(f) }

func (p *Pool) maintain() {
	defer p.wg.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.clock.After(maintenanceInterval):
		}
		now := p.clock.Now()
		p.slots.Range(func(key Key, s *slot) bool {
			s.maintain(now)
			if s.isReleased() {
				p.removeReleased(key)
			}
			return true
		})
	}
}

func (p *Pool) probeIdle(target siskin.TargetID, before time.Time) {
	p.slots.Range(func(key Key, s *slot) bool {
		if key.Target == target {
			s.probeOlder(before)
		}
		return true
	})
}

// Own starts or updates the ownership of a slot. Connections that were opened
// with other settings are closed when they are idle.
func (p *Pool) Own(key Key, cfg SlotConfig) {
	if s, ok := p.slots.Get(key); ok && s.isOwnedWith(cfg) {
		return
	}
	// Under the lock of the map, so that removeReleased does not remove the slot.
	p.slots.Update(key, func(s *slot, ok bool) (*slot, bool) {
		if !ok {
			s = &slot{pool: p, key: key, cfg: cfg, conns: make(map[*Conn]struct{})}
		}
		s.own(cfg)
		return s, true
	})
}

// removeReleased removes a slot that is no longer owned and has no connections
// left.
func (p *Pool) removeReleased(key Key) {
	p.slots.Update(key, func(s *slot, ok bool) (*slot, bool) { return s, ok && !s.isReleased() })
}

// Drop ends the ownership of a slot. New requests are refused, idle connections
// are closed and requests in progress finish. The returned channel is closed
// when the last connection is closed or the slot is owned again.
func (p *Pool) Drop(key Key) <-chan struct{} {
	s, ok := p.slots.Get(key)
	if !ok {
		done := make(chan struct{})
		close(done)
		return done
	}
	return s.drain()
}

// Owned returns the slots that this VM owns.
func (p *Pool) Owned() []Key {
	var keys []Key
	p.slots.Range(func(key Key, s *slot) bool {
		s.mu.Lock()
		if !s.draining {
			keys = append(keys, key)
		}
		s.mu.Unlock()
		return true
	})
	return keys
}

// Get leases a connection of a slot to the request owner, until Recycle or
// Close. It waits until ctx ends. The kind of an error has IsNotRun.
func (p *Pool) Get(ctx context.Context, key Key, account Account, owner uint64) (*Conn, error) {
	s, ok := p.slots.Get(key)
	if !ok {
		return nil, notOwnedError(key)
	}
	for {
		c, err := s.get(ctx, account, owner)
		if c == nil || c.socket.isOpen() {
			return c, err
		}
		c.Close(nil)
	}
}

// Close drops every slot, waits until ctx ends for requests in progress and
// closes the remaining connections.
func (p *Pool) Close(ctx context.Context) {
	var drained []<-chan struct{}
	p.slots.Range(func(_ Key, s *slot) bool {
		drained = append(drained, s.drain())
		return true
	})
	for _, done := range drained {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	p.cancel()
	p.slots.Range(func(_ Key, s *slot) bool {
		s.mu.Lock()
		for c := range s.conns {
			s.removeLocked(c)
		}
		s.mu.Unlock()
		return true
	})
	p.wg.Wait()
	p.openers.StopAndWait()
	p.probers.StopAndWait()
}
