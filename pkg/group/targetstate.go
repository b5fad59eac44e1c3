package group

import (
	"time"

	"siskintray.example/siskin"
)

// targetState is what the machine knows of one target.
type targetState struct {
	Member
	status     siskin.TargetStatus
	hasStatus  bool // status holds an answer
	answeredAt time.Time
	// refused says that the last connection was refused or broke and that the
	// target has not answered since.
	refused          bool
	unreachableSince time.Time // start of the present unreachability; zero when reachable
	followOrderedAt  time.Time // time of the last follow order
}

func (t *targetState) reachable(now time.Time, limit time.Duration) bool {
	return t.hasStatus && !t.refused && now.Sub(t.answeredAt) < limit
}

// receivesHeartbeat reports whether the target is a replica that had a message of its
// primary within the limit, by its last answer.
func (t *targetState) receivesHeartbeat(limit time.Duration) bool {
	return t.status.Role == siskin.RoleReplica && t.status.StreamTerm > 0 &&
		t.status.ClaimedTerm <= t.status.StreamTerm && t.status.HeardPrimary < limit
}

// logPosition returns the end of the target's logPosition: the term of the last record first.
func (t *targetState) logPosition() siskin.Position { return logEnd(t.status) }

func logEnd(st siskin.TargetStatus) siskin.Position {
	return siskin.Position{Term: st.LastTerm, LSN: st.Received}
}
