package elect

import "time"

const (
	// probeAfter is the age of the last proof of lead at which the primary is
	// asked for another one.
	probeAfter = 200 * time.Millisecond
	// suspectAfter is the age of the last proof at which a primary that does not
	// answer is suspected. It spans two probes that time out.
	suspectAfter = 700 * time.Millisecond
	// minWatchTime is the least time that a VM has watched a service before it
	// acts on a silent primary, so that it has asked itself.
	minWatchTime = 400 * time.Millisecond
	// refusedAfter is the same for a primary whose address refuses connections,
	// which shows that its process has ended.
	refusedAfter = 300 * time.Millisecond
	// deniedAfter is the same for a target that answers that it does not lead.
	deniedAfter = 500 * time.Millisecond
	// stalledAfter is the time for which writes may go unacknowledged at a
	// primary that proves its lead, before its replicas are held to be cut off.
	stalledAfter = 1200 * time.Millisecond
	// primarySearchTimeout is the time to look for a primary before one is elected.
	primarySearchTimeout = 1500 * time.Millisecond
)

// observation is what the watching VM knows of a primary.
type observation struct {
	// primaryKnown says that some target is held to lead.
	primaryKnown bool
	// proofAge is the time since the last proof of lead.
	proofAge time.Duration
	// silent, refused and denied say how the last question ended.
	silent, refused, denied bool
	// draining says that the primary is about to stop.
	draining bool
	// evacuated says that nothing more is to be sent to the primary's data centre.
	evacuated bool
	// hasSuccessor says that a replica that stays is there to take over.
	hasSuccessor bool
	// stalled is the time since writes have gone unacknowledged.
	stalled time.Duration
	// watched is the time since this VM began to watch the service.
	watched time.Duration
}

// action is what to do about a primary.
type action int

const (
	wait action = iota
	// askPeers asks other VMs whether they reach the primary.
	askPeers
	// handoff changes a healthy primary that is about to stop, or evacuated.
	handoff
	// replaceStalled replaces a primary that is cut off from its replicas.
	replaceStalled
	// electNew elects a primary where none is known.
	electNew
)

var actionNames = [...]string{"Wait", "AskOthers", "HandOver", "ReplaceStalled", "ElectNew"}

func (a action) String() string { return actionNames[a] }

// decide chooses the action. A slow primary is not replaced: it proves its lead
// without a free slot.
func decide(o observation) action {
	switch {
	case !o.primaryKnown:
		if o.watched > primarySearchTimeout {
			return electNew
		}
	case o.refused && o.proofAge > refusedAfter && o.watched > refusedAfter,
		o.denied && o.proofAge > deniedAfter && o.watched > deniedAfter,
		o.silent && o.proofAge > suspectAfter && o.watched > minWatchTime:
		return askPeers
	case (o.draining || o.evacuated) && o.hasSuccessor && o.proofAge < suspectAfter:
		return handoff
	case o.stalled > stalledAfter && o.hasSuccessor:
		return replaceStalled
	}
	return wait
}
