package home

import "strconv"

// preparedNames holds the names of the prepared statements on a connection.
// The text of a caller is never part of a name, since a name ends at a blank and
// the names of all sessions share one connection.
type preparedNames struct {
	names map[Prepared]string
	last  uint64 // number of the latest name
}

func newPreparedNames() preparedNames { return preparedNames{names: make(map[Prepared]string)} }

// next returns a name that the connection has not had before.
func (n *preparedNames) next() string {
	n.last++
	return "p" + strconv.FormatUint(n.last, 36)
}

// forget drops the record of all names, for a target that no longer has them.
func (n *preparedNames) forget() { clear(n.names) }
