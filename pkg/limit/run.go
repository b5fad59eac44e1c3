package limit

import (
	"context"
	"time"
)

const (
	// callTimeout bounds every call to a peer or the platform.
	callTimeout = 2 * time.Second
	// exchangeInterval is the pause between two rounds of messages. Requests
	// for units that arise during it share a message.
	exchangeInterval = 2 * time.Millisecond
	// maintainInterval is the pause between two checks for gone VMs.
	maintainInterval = time.Second
)

// Start begins the exchange of units with other VMs. It returns at once.
func (l *Limiter) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.done.Go(func() { l.runExchange(ctx) })
	l.done.Go(func() { l.runRecords(ctx) })
	l.done.Go(func() { l.runMaintain(ctx) })
	l.done.Go(func() { l.runRefresh(ctx) })
}

// runExchange sends queued requests for units and repeats unanswered ones.
func (l *Limiter) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		for _, m := range l.core.plan(l.now()) {
			l.done.Go(func() { l.call(ctx, m) })
		}
		l.clock.Sleep(exchangeInterval) // the first request is sent at once; later ones share a message
		select {
		case <-ctx.Done():
			return
		case <-l.core.workQueue.wakeSignal:
		case <-l.clock.After(firstRetry):
		}
	}
}

func (l *Limiter) call(ctx context.Context, m outgoing) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply AskReply
	if err := l.peers.Call(ctx, m.to, "Limit.Ask", m.args, &reply); err != nil {
		return // plan repeats the message
	}
	l.core.handleReply(l.now(), m.to, m.args.Seq, &reply)
}

// runRecords reads the records that the core queued.
func (l *Limiter) runRecords(ctx context.Context) {
	for ctx.Err() == nil {
		l.readRecords(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.clock.After(recordInterval):
		}
		select { // blocks while no read is queued
		case <-ctx.Done():
		case <-l.core.workQueue.bucketAdded:
		}
	}
}

// runMaintain checks for gone holders and reclaims their units. It has its own
// goroutine, since a reclaim may wait for an unreachable holder.
func (l *Limiter) runMaintain(ctx context.Context) {
	for ctx.Err() == nil {
		l.maintain(ctx)
		select {
		case <-ctx.Done():
		case <-l.clock.After(maintainInterval):
		}
	}
}

// recordInterval is the pause between two rounds of reading queued records. It
// batches the reads at the start of a VM and delays a new customer only
// briefly.
const recordInterval = 10 * time.Millisecond

// runRefresh applies each change of the configuration to the holdings.
func (l *Limiter) runRefresh(ctx context.Context) {
	for {
		changed := l.view.Changed()
		l.core.refreshLimits(l.now())
		if l.prepareAll {
			l.Prepare(l.view.Customers()...)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
