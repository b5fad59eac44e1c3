package group

import (
	"time"

	"siskintray.example/siskin"
)

// targetState is what the machine knows about one target.
type targetState struct {
	Member
	status     siskin.TargetStatus
	hasStatus  bool // status holds an answer
	answeredAt time.Time
	// refused is set when the last connection was refused or broke and the
	// target has not answered since.
	refused          bool
	unreachableSince time.Time // when the target became unreachable; zero if reachable
	followOrderedAt  time.Time // time of the last follow order
}

func (t *targetState) reachable(now time.Time, limit time.Duration) bool {
	return t.hasStatus && !t.refused && now.Sub(t.answeredAt) < limit
}

// receivesHeartbeat reports whether the target is a replica that, by its last
// status, received a message from its primary within the limit.
func (t *targetState) receivesHeartbeat(limit time.Duration) bool {
	return t.status.Role == siskin.RoleReplica && t.status.StreamTerm > 0 &&
		t.status.ClaimedTerm <= t.status.StreamTerm && t.status.HeardPrimary < limit
}

// logPosition returns the end of the target's log: the term of the last record
// and the position.
func (t *targetState) logPosition() siskin.Position { return logEnd(t.status) }

func logEnd(st siskin.TargetStatus) siskin.Position {
	return siskin.Position{Term: st.LastTerm, LSN: st.Received}
}
