package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// awayState tells one loss of the store from many failed calls.
type awayState struct {
	mu    sync.Mutex
	since time.Time // zero while the store answers
}

// poll calls read whenever what is known is older than age.
func (f *Feed) poll(ctx context.Context, what string, age time.Duration, known func() time.Time, read func(context.Context, time.Time) error) {
	pause := firstPause
	var last time.Time // of this VM's own last read
	spread := rand.N(stagger)
	f.awaitPeers(ctx, known)
	for ctx.Err() == nil {
		at, follows := known(), f.cfg.Crew.UsesRelays()
		due := age
		if !at.IsZero() && (follows || !at.Equal(last)) {
			due += takeOver + spread
		}
		longest := longestPause
		if follows {
			due, longest = due+followerDelay, followerPause
		}
		if left := due - f.cfg.Clock.Since(at); left > 0 {
			// A follower hardly ever reads, and each look wakes it up.
			tick := pollTick
			if follows {
				tick = max(tick, min(left, followerTick))
			}
			sleep(ctx, tick)
			continue
		}
		asked := f.cfg.Clock.Now()
		err := read(ctx, asked)
		if err == nil {
			f.answered()
			pause, last, spread = firstPause, asked, rand.N(stagger)
			continue
		}
		if ctx.Err() == nil {
			f.failed(what, err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longest)
		}
	}
}

// awaitPeers waits until peers have told a starting VM what it reads. Seeds and
// VMs without any read at once.
func (f *Feed) awaitPeers(ctx context.Context, known func() time.Time) {
	if f.cfg.Crew.IsSeed() {
		return
	}
	start := f.cfg.Clock.Now()
	for ctx.Err() == nil && known().IsZero() && f.cfg.Clock.Since(start) < startFromPeers {
		sleep(ctx, pollTick)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Feed) failed(what string, err error) {
	f.away.mu.Lock()
	defer f.away.mu.Unlock()
	if f.away.since.IsZero() {
		f.away.since = f.cfg.Clock.Now()
		f.cfg.Log.Warn().Err(err).Str("Reading", what).Msg("lost the store")
	}
}

func (f *Feed) answered() {
	f.away.mu.Lock()
	defer f.away.mu.Unlock()
	if !f.away.since.IsZero() {
		f.cfg.Log.Info().Dur("Away", f.cfg.Clock.Since(f.away.since)).Msg("the store is back")
		f.away.since = time.Time{}
	}
}
