package home

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"siskintray.example/siskin"
)

const (
	// maxPreparedCount is the maximum number of prepared statements on a
	// connection.
	maxPreparedCount = 128
	// maxPreparedSize is the maximum total length of their shapes. A longer
	// shape is prepared alone.
	maxPreparedSize siskin.Bytes = 64 << 10
)

// preparedNames holds the names of the prepared statements on a connection.
// The text of a caller is never part of a name, since a name ends at a blank and
// the names of all sessions share one connection.
type preparedNames struct {
	names map[Prepared]preparedName
	size  siskin.Bytes // total length of the shapes
	last  uint64       // number of the latest name
	uses  uint64
}

type preparedName struct {
	name string
	used uint64 // preparedNames.uses at the latest use
}

func newPreparedNames() preparedNames {
	return preparedNames{names: make(map[Prepared]preparedName)}
}

// next returns a name that the connection has not had before.
func (n *preparedNames) next() string {
	n.last++
	return "p" + strconv.FormatUint(n.last, 36)
}

// use reports whether p has a name, and counts it as used now.
func (n *preparedNames) use(p Prepared) bool {
	e, ok := n.names[p]
	if ok {
		n.uses++
		e.used = n.uses
		n.names[p] = e
	}
	return ok
}

// add records a name that the target has accepted.
func (n *preparedNames) add(p Prepared, name string) {
	n.uses++
	n.names[p] = preparedName{name, n.uses}
	n.size += siskin.Bytes(len(p.Shape))
}

// remove drops the record of a name.
func (n *preparedNames) remove(name string) {
	for p, e := range n.names {
		if e.name == name {
			delete(n.names, p)
			n.size -= siskin.Bytes(len(p.Shape))
		}
	}
}

// forget drops the record of all names, for a target that no longer has them.
func (n *preparedNames) forget() {
	clear(n.names)
	n.size = 0
}

// surplus returns the least recently used names that have to go before p is
// prepared.
func (n *preparedNames) surplus(p Prepared) []string {
	count, size := len(n.names), n.size+siskin.Bytes(len(p.Shape))
	if count < maxPreparedCount && size <= maxPreparedSize {
		return nil
	}
	byAge := slices.SortedFunc(maps.Keys(n.names), func(a, b Prepared) int { return cmp.Compare(n.names[a].used, n.names[b].used) })
	var list []string
	for _, old := range byAge {
		if count < maxPreparedCount && size <= maxPreparedSize {
			break
		}
		list = append(list, n.names[old].name)
		count, size = count-1, size-siskin.Bytes(len(old.Shape))
	}
	return list
}
