package sysd

import (
	"context"
	"time"
)

const (
	// balancerDelay is the time in which the balancer takes a VM out: two probes
	// a second apart.
	balancerDelay = 2200 * time.Millisecond
	// closeInterval is the time between two groups of idle sessions that are closed,
	// so that their callers do not reconnect all at once.
	closeInterval = 50 * time.Millisecond
	// closeGroups is the number of groups.
	closeGroups = 16
	// exitMargin is the time kept for the end of the process.
	exitMargin = 700 * time.Millisecond
)

// drain carries out a planned stop: the balancer and the peers send no new
// work, idle sessions are closed in small steps, and running work ends.
func (n *node) drain(ctx context.Context) {
	deadline := time.Now().Add(n.cfg.Stop.Grace - exitMargin)
	n.stopping.Store(true)
	n.crew.Leave()
	n.log.Info().Int("Sessions", n.entry.Sessions()).Dur("Grace", n.cfg.Stop.Grace).Msg("stopping as planned")
	sleepUntil(ctx, minTime(time.Now().Add(balancerDelay), deadline))
	group := n.entry.Sessions()/closeGroups + 1
	for time.Now().Before(deadline) && ctx.Err() == nil {
		c := n.homes.Counts()
		if n.entry.EndSessions(group) == 0 && c.Transactions == 0 && c.Active == 0 {
			break
		}
		sleepUntil(ctx, minTime(time.Now().Add(closeInterval), deadline))
	}
	n.log.Info().Int("Sessions", n.entry.Sessions()).Int("Transactions", n.homes.Counts().Transactions).Msg("stopped serving")
}

func minTime(a, b time.Time) time.Time {
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

func (n *node) stopped() bool { return n.stopping.Load() }

// close ends everything and waits.
func (n *node) close() error {
	n.stopping.Store(true)
	if n.callers != nil {
		_ = n.callers.Close() // ends accept
	}
	_ = n.entry.Close()
	for _, s := range n.servers {
		_ = s.Close() // probes and metrics may break off
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
