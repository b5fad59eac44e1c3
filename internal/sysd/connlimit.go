package sysd

import "siskintray.example/siskin"

// connLimit returns the maximum number of connections that this VM opens to a
// target.
func (n *node) connLimit(t siskin.TargetInfo) int {
	limit := nonHomeConns + reservedConns + 1
	if s, ok := n.table.Snapshot().Service(t.Service); ok && s.MaxConnections > 0 {
		limit = s.MaxConnections
	}
	home := max(1, limit-reservedConns)
	if n.path == nil {
		return home
	}
	isHome := n.path.IsHome(t)
	if demoted, ok := n.path.DemotedHome(t); ok {
		return demotedConnLimit(home, isHome, demoted == n.crew.Self().ID)
	}
	if !isHome {
		return nonHomeConns
	}
	return home
}
