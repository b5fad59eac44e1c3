package elect

import "siskintray.example/siskin"

// modelLog is the log of a target: its end and the set of its commits.
type modelLog struct {
	endPos siskin.Position
	ids    [8]uint64
}

func (l *modelLog) add(id int) { l.ids[id/64] |= 1 << (id % 64) }

// lacks returns a commit of a set that is missing in the log.
func (l *modelLog) lacks(set *[8]uint64) (int, bool) {
	for i, word := range set {
		for b := range 64 {
			if word&^l.ids[i]&(1<<b) != 0 {
				return 64*i + b, true
			}
		}
	}
	return 0, false
}

// modelTarget is a simulated target. The simulation advances in ticks.
type modelTarget struct {
	id              siskin.TargetID
	term, pauseTerm siskin.Term
	isPrimary       bool
	log             modelLog
	// runsFrom is the tick from which the target is running, and listedFrom the
	// tick from which it has an entry in discovery.
	runsFrom, listedFrom int
	restarted            int // tick of the last restart
	// crashedAsPrimary reports that the target was primary when it crashed, and
	// no target was promoted since.
	crashedAsPrimary bool
	// connectedTicks counts the ticks for which a former primary has been
	// connected to a newer one.
	connectedTicks int
}

// status returns the state that a target reports to a VM.
func (t *modelTarget) status() siskin.ControlStatus {
	return siskin.ControlStatus{Primary: t.isPrimary, Term: t.term, PauseTerm: t.pauseTerm, Received: t.log.endPos}
}

// modelEntry is the entry of a target in discovery.
type modelEntry struct {
	id      siskin.TargetID
	renewed int // tick
}

// modelCommit is a commit whose acknowledgement a VM waits for.
type modelCommit struct {
	vm, id int
	target siskin.TargetID
	term   siskin.Term
	sent   int             // tick
	end    siskin.Position // of the log at acknowledgement
}
