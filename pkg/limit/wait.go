package limit

import (
	"time"

	"siskintray.example/siskin"
)

// maxWaiters bounds the requests of one customer that wait at one VM.
const maxWaiters = 256

// minWaitingTokens allows a few requests of a customer with a low rate to wait
// for units.
const minWaitingTokens = 4

// startWait decides whether a rejected request should wait: either its tokens
// accrue in time, after those of the requests already waiting, or units may
// arrive. Any other request is rejected at once instead of at the end of a
// wait. startWait returns a channel that is closed when units arrive, or when
// waiting is pointless, and the longest pause before the next attempt.
func (c *core) startWait(now time.Duration, id siskin.CustomerID, n float64, until time.Duration) (<-chan struct{}, time.Duration, bool) {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings.get(id)
	if h == nil || !h.configured || now >= until || h.waiters >= maxWaiters {
		return nil, 0, false
	}
	if b.epoch == 0 {
		if b.unreadable {
			return nil, 0, false
		}
		return h.addWaiter(n), min(recordInterval, until-now), true
	}
	pause := h.accrualTime(n + h.waitingTokens)
	accrues := pause <= until-now
	// Units from other VMs cannot admit more than the whole rate.
	room := max(minWaitingTokens, h.rate*(until-now).Seconds())
	if !accrues && (c.stopping.Load() || !h.mayGetUnits(until) || h.waitingTokens+n > room) {
		return nil, 0, false
	}
	wakeup := h.addWaiter(n)
	if untilNextAsk := h.askAfter - now; !accrues && untilNextAsk > 0 {
		pause = untilNextAsk // the next attempt asks another holder
	} else if !accrues {
		pause = askTimeout
	}
	return wakeup, max(min(pause, until-now), time.Millisecond), true
}

// addWaiter counts a request that waits for n tokens and returns the channel
// that is closed when it should retry.
func (h *holding) addWaiter(n float64) <-chan struct{} {
	h.waiters++
	h.waitingTokens += n
	if h.wakeup == nil {
		h.wakeup = make(chan struct{})
	}
	return h.wakeup
}

// joining reports whether this VM is becoming a holder of the customer's
// bucket.
func (c *core) joining(id siskin.CustomerID) bool {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch == 0 && !b.unreadable
}

// setUnreadable records whether the platform failed to answer a read of the
// record.
func (c *core) setUnreadable(i int, unreadable bool) {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreadable = unreadable
}

// maxFailedRounds is the number of rounds over all holders without units up to
// which requests wait for units. After more, the customer probably uses its
// whole rate, and its requests are rejected at once.
const maxFailedRounds = 1

// mayGetUnits reports whether a request for units with a chance of success is
// queued or will be sent before the given time.
func (h *holding) mayGetUnits(until time.Duration) bool {
	return h.failedRounds <= maxFailedRounds && (h.askQueued || h.askAfter < until)
}

// endWait ends a wait that startWait began.
func (c *core) endWait(id siskin.CustomerID, n float64) {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdings.get(id); h != nil {
		h.waiters--
		h.waitingTokens -= n
	}
}
