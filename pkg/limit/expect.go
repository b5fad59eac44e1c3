package limit

import (
	"time"

	"siskintray.example/siskin"
)

// maxWaiters bounds the requests of one customer that wait at one VM.
const maxWaiters = 256

// minWaitingTokens lets a few requests of a customer with a low rate wait for units.
const minWaitingTokens = 4

// startWait decides whether a refused request should wait: its tokens accrue in
// time after those of the requests that wait already, or units may arrive. Any
// other request is refused at once, not at the end of a wait. It returns a channel that is closed when units
// arrive and the longest pause before the next attempt.
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
	// Units of others cannot admit more than the whole rate does.
	room := max(minWaitingTokens, h.rate*(until-now).Seconds())
	if !accrues && (c.stopping.Load() || !h.mayGetUnits(until) || h.waitingTokens+n > room) {
		return nil, 0, false
	}
	wakeup := h.addWaiter(n)
	if again := h.askAfter - now; !accrues && again > 0 {
		pause = again // the next attempt asks another holder
	} else if !accrues {
		pause = askTimeout
	}
	return wakeup, max(min(pause, until-now), time.Millisecond), true
}

// addWaiter counts a request that waits for n tokens and returns the channel that is
// closed when it should look again.
func (h *holding) addWaiter(n float64) <-chan struct{} {
	h.waiters++
	h.waitingTokens += n
	if h.wakeup == nil {
		h.wakeup = make(chan struct{})
	}
	return h.wakeup
}

// joining reports whether this VM is about to become a holder of the customer's
// bucket.
func (c *core) joining(id siskin.CustomerID) bool {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch == 0 && !b.unreadable
}

// setUnreadable records whether the platform answered the reading of a record.
func (c *core) setUnreadable(i int, unreadable bool) {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreadable = unreadable
}

// maxFailedRounds is the number of rounds without success over all holders after which
// requests do not wait for units anymore: the customer probably uses its whole
// rate, and its requests are answered at once.
const maxFailedRounds = 1

// mayGetUnits reports whether a request for units is under way or will go out
// before the given time, with a chance of success.
func (h *holding) mayGetUnits(until time.Duration) bool {
	return h.failedRounds <= maxFailedRounds && (h.askQueued || h.askAfter < until)
}

// endWait ends a wait that expect began.
func (c *core) endWait(id siskin.CustomerID, n float64) {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdings.get(id); h != nil {
		h.waiters--
		h.waitingTokens -= n
	}
}
