package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
)

// Spread is one VM's part in the spread of the configuration. It implements
// config.View.
type Spread struct {
	settings
	platform siskin.Platform
	peers    siskin.Peers
	members  siskin.Members
	store    *store

	platformDown atomic.Bool // the last question to the platform failed

	applyMu sync.Mutex // one change of this VM at a time
	unknown int        // updates of the head without a known outcome; guarded by applyMu
	pushes  pond.Pool
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	loaded bool // the newest revision was learned from the platform or a peer
	ready  chan struct{}
}

// New returns a Spread that knows no configuration. Receiver must be registered
// as "Spread" at the peer server before Start.
func New(platform siskin.Platform, peers siskin.Peers, members siskin.Members, opts ...Option) *Spread {
	s := &Spread{
		settings: defaults(),
		platform: platform,
		peers:    peers,
		members:  members,
		store:    newStore(),
		ready:    make(chan struct{}),
		pushes:   pond.NewPool(maxPushes, pond.WithQueueSize(8*maxPushes), pond.WithNonBlocking(true)),
	}
	for _, opt := range opts {
		opt(&s.settings)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// maxPushes bounds the pushes in progress. One that finds no place is dropped;
// the next question to a peer makes up for it.
const maxPushes = 16

// Start loads the configuration and follows it. It returns at once.
func (s *Spread) Start() {
	s.wg.Go(s.exchange)
	s.wg.Go(s.watch)
}

// Ready returns a channel that is closed when the configuration was loaded.
func (s *Spread) Ready() <-chan struct{} { return s.ready }

func (s *Spread) markLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded {
		s.loaded = true
		close(s.ready)
	}
}

func (s *Spread) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// Close ends all calls and waits for them.
func (s *Spread) Close() error {
	s.cancel()
	s.wg.Wait()
	s.pushes.StopAndWait()
	return nil
}

// sleep waits and reports whether the Spread still runs.
func (s *Spread) sleep(d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// PlatformDown reports whether the platform did not answer this VM's last
// question. A VM that is no watcher asks only at its start.
func (s *Spread) PlatformDown() bool { return s.platformDown.Load() }
