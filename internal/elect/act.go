package elect

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/path"
)

const (
	// changeTimeout bounds one change of primary. The platform takes up to a
	// second for a promotion.
	changeTimeout = 4 * time.Second
	// askPeersTimeout bounds the query to targets and other VMs whether a
	// primary is reachable.
	askPeersTimeout = 350 * time.Millisecond
	// maxAskedPeers is the number of other VMs that are asked.
	maxAskedPeers = 3
)

// act carries out an action for a primary.
func (e *Elector) act(ctx context.Context, s siskin.ServiceSpec, primary siskin.TargetID, a action, obs observation, w *watch) {
	var err error
	defer func() { e.finishChange(w, err) }()
	e.cfg.Log.Info().Str("Service", string(s.Name)).Str("Primary", string(primary)).Stringer("Action", a).
		Dur("ProofAge", obs.proofAge).Bool("Silent", obs.silent).Bool("Refused", obs.refused).Bool("Denied", obs.denied).
		Bool("Draining", obs.draining).Bool("Evacuated", obs.evacuated).Dur("Stalled", obs.stalled).Msg("decided about a primary")
	if (a == askPeers || a == electNew) && e.primaryReachable(ctx, s.Name, primary) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	start := e.cfg.Clock.Now()
	c := &change{e: e, spec: s, oldPrimary: primary, start: start, planned: a == handoff, stalled: a == replaceStalled, unfenced: !e.cfg.Fencing, ownTerm: e.lastOwnTerm(w)}
	err = c.run(ctx)
	e.setOwnTerm(w, c)
	took := e.cfg.Clock.Since(start)
	if err != nil {
		e.cfg.Log.Warn().Err(err).Str("Service", string(s.Name)).Dur("Took", took).Bool("Overtook", c.contested).Msg("the primary was not changed")
		return
	}
	e.cfg.Changed(took)
	e.cfg.Log.Info().Str("Service", string(s.Name)).Str("From", string(primary)).Str("To", string(c.candidate.target.ID)).
		Uint64("Term", uint64(c.term)).Dur("Took", took).Bool("Overtook", c.contested).Msg("the primary was changed")
}

func (e *Elector) lastOwnTerm(w *watch) siskin.Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return w.ownTerm
}

func (e *Elector) setOwnTerm(w *watch, c *change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.ownTerm = c.nextOwnTerm()
}

// nextOwnTerm returns the ownTerm of this VM's next change.
func (c *change) nextOwnTerm() siskin.Term {
	if c.pending || c.contested {
		return 0
	}
	return c.term
}

// primaryReachable reports whether any target answers as primary, or another VM
// reaches the old primary.
func (e *Elector) primaryReachable(ctx context.Context, name siskin.ServiceName, primary siskin.TargetID) bool {
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	found := make(chan string, len(e.cfg.Roster.Service(name))+maxAskedPeers)
	var wg sync.WaitGroup
	for _, t := range e.cfg.Roster.Service(name) {
		wg.Go(func() {
			err := e.cfg.Homes.Ping(ctx, name, t.ID)
			// A target without a free connection may be primary; it is asked
			// again.
			if err == nil || siskin.KindOf(err) == siskin.Overloaded {
				found <- string(t.ID)
			}
		})
	}
	for _, vm := range e.peersToAsk() {
		if primary == "" {
			break
		}
		wg.Go(func() {
			var reply path.PingReply
			args := &path.PingArgs{Service: name, Target: primary}
			if err := e.cfg.Peers.Call(ctx, vm.ID, "Home.Ping", args, &reply); err == nil && reply.Leads {
				found <- string(primary) + " by " + string(vm.ID)
			}
		})
	}
	wg.Wait()
	close(found)
	who, ok := <-found
	if ok {
		e.cfg.Log.Info().Str("Service", string(name)).Str("Leads", who).Msg("a target still answers as primary; no change needed")
	}
	return ok
}

// peersToAsk returns the VMs to ask. VMs of other data centres come first
// because they share no network path with this VM.
func (e *Elector) peersToAsk() []siskin.VM {
	self := e.cfg.Members.Self()
	var far, near []siskin.VM
	for _, vm := range e.cfg.Members.Live() {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre != self.DataCentre:
			far = append(far, vm)
		default:
			near = append(near, vm)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	list := append(far, near...)
	return list[:min(len(list), maxAskedPeers)]
}
