package elect

import "siskintray.example/siskin"

// canSucceed reports whether enough targets answer to reach a quorum of claims.
func canSucceed(claims []claim, sync int) bool {
	missing, members := 0, 0
	for i := range claims {
		if claims[i].covered {
			continue
		}
		if members++; claims[i].err != nil {
			missing++
		}
	}
	return missing <= max(sync, 1) && missing < members
}

// markEmptyLogs marks the targets without a log in a service that has commits.
// The log end of the last known primary shows that there are commits even if no
// target that answers has any.
func markEmptyLogs(claims []claim, known siskin.Position) {
	written := known.LSN != 0
	for i := range claims {
		written = written || claims[i].status.Received.LSN != 0
	}
	for i := range claims {
		c := &claims[i]
		c.logEmpty = written && c.err == nil && c.status.Received.LSN == 0
	}
}

// replicasAnswer reports whether enough replicas answer to replace a primary
// that may have commits which some of them lack.
func replicasAnswer(claims []claim, sync int) bool {
	replicas, missing := 0, 0
	for i := range claims {
		if claims[i].wasPrimary || claims[i].covered {
			continue
		}
		if replicas++; claims[i].err != nil || claims[i].logEmpty {
			missing++
		}
	}
	return replicas > missing && missing < max(sync, 1)
}

// hasQuorum reports whether every set of targets that could have acknowledged a
// commit contains a claimed one. A commit is acknowledged by the primary and
// sync replicas, so at most sync targets may be missing. A primary that stepped
// down has every commit itself, but its claim alone may have no target in
// common with the claims of another change, which may have promoted a target
// since. Targets without a log count as missing unless all targets are claimed,
// because then no unclaimed target can have more commits. Covered targets don't
// count: commits are passed on only once sync staying replicas have them.
func hasQuorum(claims []claim, term siskin.Term, sync int) bool {
	missing, empty, members := 0, 0, 0
	for i := range claims {
		c := &claims[i]
		if c.covered {
			continue
		}
		members++
		switch {
		case !c.holds(term):
			missing++
		case c.logEmpty:
			empty++
		}
	}
	if missing > 0 {
		missing += empty
	}
	return missing <= max(sync, 1) && missing < members
}
