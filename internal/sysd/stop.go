package sysd

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin/internal/home"
)

const (
	// balancerDelay is the time that the balancer needs to remove a VM: two
	// probes one second apart.
	balancerDelay = 2200 * time.Millisecond
	// closeInterval is the time between closing two groups of idle sessions,
	// so that their callers do not reconnect all at once.
	closeInterval = 50 * time.Millisecond
	// closeGroups is the number of these groups.
	closeGroups = 16
	// exitMargin is the part of the grace period reserved for the exit of the
	// process.
	exitMargin = 700 * time.Millisecond
	// finishTime is the part of exitMargin in which the last answers are sent
	// to callers, and again to peers.
	finishTime = 200 * time.Millisecond
)

// drain carries out a planned stop: it makes the balancer and the peers stop
// sending new work, closes idle sessions in small groups, and waits for
// running work. Statements that could not end in time are refused, with their
// transactions, so that none is cut.
func (n *node) drain(ctx context.Context) {
	grace := n.cfg.Stop.Grace
	deadline := time.Now().Add(grace - exitMargin)
	now := n.clock.Now()
	schedule := home.Shutdown{AbortAfter: now.Add(min(grace/2, grace-exitMargin)), Deadline: now.Add(grace - exitMargin)}
	n.entry.Shutdown(schedule)
	n.homes.Shutdown(schedule)
	n.stopping.Store(true)
	n.crew.Leave()
	var giveUp sync.WaitGroup
	giveUpCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	giveUp.Go(func() { n.feed.GiveUpRights(giveUpCtx) })
	defer giveUp.Wait()
	n.log.Info().Int("Sessions", n.entry.Sessions()).Dur("Grace", n.cfg.Stop.Grace).Msg("stopping as planned")
	sleepUntil(ctx, earlier(time.Now().Add(balancerDelay), deadline))
	group := n.entry.Sessions()/closeGroups + 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		c := n.homes.Counts()
		if n.entry.EndSessions(group) == 0 && c.Transactions == 0 && c.Active == 0 {
			break
		}
		sleepUntil(ctx, earlier(time.Now().Add(closeInterval), deadline))
	}
	n.entry.FinishSessions(finishTime)
	for limit := time.Now().Add(finishTime); n.homes.Counts().Active > 0 && time.Now().Before(limit); {
		sleepUntil(ctx, time.Now().Add(closeInterval)) // statements of peers
	}
	n.log.Info().Int("Sessions", n.entry.Sessions()).Int("Transactions", n.homes.Counts().Transactions).Msg("stopped serving")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func sleepUntil(ctx context.Context, t time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(t)):
	}
}

func (n *node) isStopping() bool { return n.stopping.Load() }

// close stops all components and waits for them.
func (n *node) close() error {
	n.stopping.Store(true)
	if n.callers != nil {
		_ = n.callers.Close() // ends accept
	}
	_ = n.entry.Close()
	for _, s := range n.servers {
		_ = s.Close() // probes and metrics requests in progress may fail
	}
	_ = n.feed.Close()
	_ = n.elect.Close()
	_ = n.crew.Close()
	_ = n.homes.Close()
	_ = n.peers.Close()
	_ = n.peerServer.Close()
	n.done.Wait()
	return n.stats.Close()
}
