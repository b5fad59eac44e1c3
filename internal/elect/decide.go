package elect

import "time"

const (
	// probeAfter is the age of the last proof of lead at which the primary is
	// asked for another one.
	probeAfter = 200 * time.Millisecond
	// suspectAfter is the age of the last proof at which a primary that does not
	// answer is suspected. It spans two probes that time out.
	suspectAfter = 700 * time.Millisecond
	// watchedFor is the least time that a VM has watched a service before it
	// acts on a silent primary, so that it has asked itself.
	watchedFor = 400 * time.Millisecond
	// refusedAfter is the same for a primary whose address refuses connections,
	// which shows that its process has ended.
	refusedAfter = 300 * time.Millisecond
	// deniedAfter is the same for a target that answers that it does not lead.
	deniedAfter = 500 * time.Millisecond
	// stalledAfter is the time for which writes may go unacknowledged at a
	// primary that proves its lead, before its replicas are held to be cut off.
	stalledAfter = 1200 * time.Millisecond
	// unknownAfter is the time to look for a primary before one is elected.
	unknownAfter = 1500 * time.Millisecond
)

// evidence is what the watching VM knows of a primary.
type evidence struct {
	// known says that some target is held to lead.
	known bool
	// proofAge is the time since the last proof of lead.
	proofAge time.Duration
	// silent, refused and denied say how the last question ended.
	silent, refused, denied bool
	// draining says that the primary is about to stop.
	draining bool
	// evacuated says that nothing more is to be sent to the primary's data centre.
	evacuated bool
	// successor says that a replica that stays is there to take over.
	successor bool
	// stalled is the time since writes have gone unacknowledged.
	stalled time.Duration
	// watched is the time since this VM began to watch the service.
	watched time.Duration
}

// action is what to do about a primary.
type action int

const (
	wait action = iota
	// askOthers asks other VMs whether they reach the primary.
	askOthers
	// handOver changes a healthy primary that is about to stop, or evacuated.
	handOver
	// replaceStalled replaces a primary that is cut off from its replicas.
	replaceStalled
	// electNew elects a primary where none is known.
	electNew
)

var actions = [...]string{"Wait", "AskOthers", "HandOver", "ReplaceStalled", "ElectNew"}

func (a action) String() string { return actions[a] }

// decide chooses the action. A slow primary is not replaced: it proves its lead
// without a free slot.
func decide(e evidence) action {
	switch {
	case !e.known:
		if e.watched > unknownAfter {
			return electNew
		}
	case e.refused && e.proofAge > refusedAfter && e.watched > refusedAfter,
		e.denied && e.proofAge > deniedAfter && e.watched > deniedAfter,
		e.silent && e.proofAge > suspectAfter && e.watched > watchedFor:
		return askOthers
	case (e.draining || e.evacuated) && e.successor && e.proofAge < suspectAfter:
		return handOver
	case e.stalled > stalledAfter && e.successor:
		return replaceStalled
	}
	return wait
}
