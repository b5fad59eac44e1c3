package elect

import "time"

const (
	// probeAfter is the age of the last proof at which the primary is asked for
	// a new proof.
	probeAfter = 200 * time.Millisecond
	// suspectAfter is the age of the last proof at which a primary that does
	// not answer is suspected. It covers two probes that time out.
	suspectAfter = 700 * time.Millisecond
	// minWatchTime is the time for which a VM must have watched a service
	// before it acts on a primary that is silent or denies its role, so that it
	// has probed the primary itself.
	minWatchTime = 400 * time.Millisecond
	// refusedAfter is the age of the last proof at which a primary is suspected
	// whose address refuses connections, because its process has ended.
	refusedAfter = 300 * time.Millisecond
	// deniedAfter is the age of the last proof at which a primary is suspected
	// that answers that it is not primary.
	deniedAfter = 500 * time.Millisecond
	// stalledAfter is the time for which writes may go unacknowledged at a
	// primary that still proves that it is primary, before it is considered cut
	// off from its replicas.
	stalledAfter = 1200 * time.Millisecond
	// primarySearchTimeout is the time to look for a primary before one is
	// elected.
	primarySearchTimeout = 1500 * time.Millisecond
)

// observation is what the watching VM knows about a primary.
type observation struct {
	// primaryKnown reports that some target is considered primary.
	primaryKnown bool
	// proofAge is the time since the last proof that the target is primary.
	proofAge time.Duration
	// silent, refused and denied are the result of the last probe.
	silent, refused, denied bool
	// draining reports that the primary is about to stop.
	draining bool
	// evacuated reports that no more requests may be sent to the primary's data
	// centre.
	evacuated bool
	// hasSuccessor reports that a replica is available that is neither draining
	// nor evacuated.
	hasSuccessor bool
	// stalled is the time for which writes have gone unacknowledged.
	stalled time.Duration
	// watched is the time since this VM started to watch the service.
	watched time.Duration
}

// action is the reaction to the state of a primary.
type action int

const (
	wait action = iota
	// askPeers asks other VMs whether they reach the primary, and replaces it
	// if none does.
	askPeers
	// handoff replaces a healthy primary that is draining or evacuated.
	handoff
	// replaceStalled replaces a primary that is cut off from its replicas.
	replaceStalled
	// electNew elects a primary if none is known.
	electNew
)

var actionNames = [...]string{"Wait", "AskOthers", "HandOver", "ReplaceStalled", "ElectNew"}

func (a action) String() string { return actionNames[a] }

// decide chooses the action. A slow primary is not replaced: it can prove that
// it is primary even while all its statement slots are in use.
func decide(o observation) action {
	switch {
	case !o.primaryKnown:
		if o.watched > primarySearchTimeout {
			return electNew
		}
	case o.refused && o.proofAge > refusedAfter && o.watched > refusedAfter,
		o.denied && o.proofAge > deniedAfter && o.watched > minWatchTime,
		o.silent && o.proofAge > suspectAfter && o.watched > minWatchTime:
		return askPeers
	case (o.draining || o.evacuated) && o.hasSuccessor && o.proofAge < suspectAfter:
		return handoff
	case o.stalled > stalledAfter && o.hasSuccessor:
		return replaceStalled
	}
	return wait
}
