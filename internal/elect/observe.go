package elect

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// currentStall returns the part of a stall of writes that belongs to the present
// lead of a primary. Writes that it did not acknowledge as an earlier primary say
// nothing about the present: it was replaced for them a moment after it had
// become the primary again, and two VMs ordered promotions in turn.
func currentStall(stall time.Duration, leadSince, now time.Time) time.Duration {
	if leadSince.IsZero() {
		return stall
	}
	return min(stall, max(0, now.Sub(leadSince)))
}

func (e *Elector) observe(name siskin.ServiceName, primary siskin.TargetID, targets []siskin.TargetInfo, proof views.PrimaryProof, w *watch, now time.Time) observation {
	obs := observation{
		primaryKnown: primary != "", proofAge: now.Sub(proof.At), watched: now.Sub(w.watchedSince),
		silent: w.lastProbe.silent, refused: w.lastProbe.refused, denied: w.lastProbe.denied,
		stalled: currentStall(e.cfg.Homes.WriteStall(primary), e.cfg.Views.LeadSince(name), now),
	}
	if proof.Target == primary && proof.At.After(w.unconfirmedSince) {
		// A commit or another VM has proved that the target is primary. No
		// probe follows while that proof is recent.
		w.unconfirmedSince = time.Time{}
	}
	if !w.unconfirmedSince.IsZero() {
		obs.stalled = max(obs.stalled, now.Sub(w.unconfirmedSince))
	}
	if proof.Target == "" {
		obs.proofAge = obs.watched
	}
	found := false
	for _, t := range targets {
		if t.ID == primary {
			obs.draining, obs.evacuated, found = t.Draining, t.Evacuated, true
		} else if !avoidAsPrimary(&t) {
			obs.hasSuccessor = true
		}
	}
	if !found && primary != "" {
		obs.silent = true // discovery has removed its entry
	}
	return obs
}
