// Package token encodes, signs, verifies and compares session tokens. A token
// holds the log position that a session of one service has observed; a read with
// the token sees every write up to that position.
package token

import "siskintray.example/siskin"

// Token is the log position that a session of a service has observed.
type Token struct {
	Service  siskin.ServiceName
	Position siskin.Position
}

// Max returns the later of two positions, which are compared by term first.
func Max(p, q siskin.Position) siskin.Position {
	if p.Compare(q) < 0 {
		return q
	}
	return p
}

// CanServe reports whether a target with the given status may serve a read that
// has to see every write up to floor. The primary of a term has every
// acknowledged write of earlier terms. A replica must replicate from the stream
// of the floor's term or a later one and must have applied the position.
func CanServe(status *siskin.TargetStatus, floor siskin.Position) bool {
	if floor.IsZero() {
		return true
	}
	if status.StreamTerm < floor.Term {
		return false
	}
	return status.Role == siskin.RolePrimary || status.Applied >= floor.LSN
}
