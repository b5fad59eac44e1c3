package logs

import (
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// maxRepeatKeys bounds the memory of RepeatLimiter. Keys beyond it share the
// entry overflowKey.
const maxRepeatKeys = 1024

// overflowKey is the shared entry of the keys beyond maxRepeatKeys.
const overflowKey = "other"

// RepeatLimiter limits repeated log lines to one per key and interval, and counts
// the suppressed ones. Without it, a target that is down would cause a line for
// every failed statement.
type RepeatLimiter struct {
	clock    siskin.Clock
	interval time.Duration
	keys     *shard.Map[string, repeat]
	count    atomic.Int64
}

type repeat struct {
	written    time.Time
	suppressed int64
}

// NewRepeatLimiter returns a limiter that allows one line per key and
// interval.
func NewRepeatLimiter(clock siskin.Clock, interval time.Duration) *RepeatLimiter {
	return &RepeatLimiter{clock: clock, interval: interval, keys: shard.New[string, repeat]()}
}

// Allow reports whether a line with the given key may be written now, and how
// many were suppressed since the last one.
func (r *RepeatLimiter) Allow(key string) (suppressed int64, ok bool) {
	if _, known := r.keys.Get(key); !known && r.count.Add(1) > maxRepeatKeys {
		r.count.Add(-1)
		key = overflowKey
	}
	now := r.clock.Now()
	r.keys.Update(key, func(old repeat, seen bool) (repeat, bool) {
		if seen && now.Sub(old.written) < r.interval {
			old.suppressed++
			return old, true
		}
		suppressed, ok = old.suppressed, true
		return repeat{written: now}, true
	})
	return suppressed, ok
}

// Msg writes the entry unless a line with the same key was written within the
// interval. The entry must not be used afterwards in either case.
func (r *RepeatLimiter) Msg(e *log.Entry, key, msg string) {
	if e == nil { // level not enabled
		return
	}
	suppressed, ok := r.Allow(key)
	if !ok {
		e.Discard()
		return
	}
	if suppressed > 0 {
		e = e.Int64("Suppressed", suppressed)
	}
	e.Msg(msg)
}
