// Package token encodes, signs, verifies and compares session tokens. A token
// names the log position that a session of one service has seen; a read that
// carries it sees every write up to that position.
package token

import "siskintray.example/siskin"

// Token is the position that a session of a service has seen.
type Token struct {
	Service  siskin.ServiceName
	Position siskin.Position
}

// Max returns the later of two positions. The term is compared first.
func Max(p, q siskin.Position) siskin.Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// CanServe reports whether a target with the given status may serve a read whose
// floor is the given position. The primary of a term holds every acknowledged
// write of the older ones. A replica must follow the stream of the floor's term
// or a later one and must have applied the position.
func CanServe(status *siskin.TargetStatus, floor siskin.Position) bool {
	if floor.IsZero() {
		return true
	}
	if status.StreamTerm < floor.Term {
		return false
	}
	return status.Role == siskin.RolePrimary || status.Applied >= floor.LSN
}
