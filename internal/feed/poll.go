package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// outageState tracks an outage of the store, so that only its first failed
// call is logged.
type outageState struct {
	mu    sync.Mutex
	since time.Time // zero while the store answers
}

// poll calls read whenever the data is older than maxAge, or somewhat later if
// this VM was not the last reader or uses relays. confirmedAt returns when the
// data was last confirmed, and read gets the time at which it was called.
func (f *Feed) poll(ctx context.Context, what string, maxAge time.Duration, confirmedAt func() time.Time, read func(context.Context, time.Time) error) {
	backoff := minBackoff
	var last time.Time // start of the last successful read by this VM
	jitter := rand.N(maxJitter)
	f.awaitPeers(ctx, confirmedAt)
	for ctx.Err() == nil {
		at, usesRelays := confirmedAt(), f.cfg.Crew.UsesRelays()
		due := maxAge
		if !at.IsZero() && (usesRelays || !at.Equal(last)) {
			due += nonReaderDelay + jitter
		}
		backoffLimit := maxBackoff
		if usesRelays {
			due, backoffLimit = due+followerDelay, followerMaxBackoff
		}
		if left := due - f.cfg.Clock.Since(at); left > 0 {
			// A VM that gets the data from relays hardly ever reads, so it checks
			// less often to avoid needless wake-ups.
			interval := pollInterval
			if usesRelays {
				interval = max(interval, min(left, maxFollowerPollInterval))
			}
			sleep(ctx, interval)
			continue
		}
		startedAt := f.cfg.Clock.Now()
		err := read(ctx, startedAt)
		if err == nil {
			f.recordSuccess()
			if confirmedAt().After(at) {
				backoff, last, jitter = minBackoff, startedAt, rand.N(maxJitter)
				continue
			}
			// The answer is older than the data in force, so it is still due.
		} else if ctx.Err() == nil {
			f.recordFailure(what, err)
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffLimit)
	}
}

// awaitPeers waits up to peerWait for the peers of a starting VM to send the
// data that it polls. A seed does not wait.
func (f *Feed) awaitPeers(ctx context.Context, confirmedAt func() time.Time) {
	if f.cfg.Crew.IsSeed() {
		return
	}
	f.awaitData(ctx, peerWait, func() bool { return !confirmedAt().IsZero() })
}

// awaitData waits up to limit for data from peers.
func (f *Feed) awaitData(ctx context.Context, limit time.Duration, known func() bool) {
	start := f.cfg.Clock.Now()
	for ctx.Err() == nil && !known() && f.cfg.Clock.Since(start) < limit {
		sleep(ctx, pollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (f *Feed) recordFailure(what string, err error) {
	f.outage.mu.Lock()
	defer f.outage.mu.Unlock()
	if f.outage.since.IsZero() {
		f.outage.since = f.cfg.Clock.Now()
		f.cfg.Log.Warn().Err(err).Str("Reading", what).Msg("lost the store")
	}
}

func (f *Feed) recordSuccess() {
	f.outage.mu.Lock()
	defer f.outage.mu.Unlock()
	if !f.outage.since.IsZero() {
		f.cfg.Log.Info().Dur("Away", f.cfg.Clock.Since(f.outage.since)).Msg("the store is back")
		f.outage.since = time.Time{}
	}
}
