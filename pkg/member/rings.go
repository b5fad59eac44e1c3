package member

import (
	"cmp"
	"slices"
	"strconv"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// rings holds the running members in the order of several hash functions.
type rings struct {
	self      siskin.VMID
	ringNames [ringCount]string
	positions [ringCount][]position // ordered by score
}

type position struct {
	score uint64
	id    siskin.VMID
}

func (p position) compare(o position) int {
	if c := cmp.Compare(p.score, o.score); c != 0 {
		return c
	}
	return cmp.Compare(p.id, o.id)
}

func newRings(self siskin.VMID) *rings {
	r := &rings{self: self}
	for k := range r.ringNames {
		r.ringNames[k] = "Member/Ring/" + strconv.Itoa(k)
	}
	r.add(self)
	return r
}

func (r *rings) add(id siskin.VMID) { r.set(id, true) }

// set adds or removes a member.
func (r *rings) set(id siskin.VMID, present bool) {
	for k, name := range r.ringNames {
		p := position{place.Score(name, id), id}
		i, found := slices.BinarySearchFunc(r.positions[k], p, position.compare)
		switch {
		case present && !found:
			r.positions[k] = slices.Insert(r.positions[k], i, p)
		case !present && found:
			r.positions[k] = slices.Delete(r.positions[k], i, i+1)
		}
	}
}

// successor returns the first member after self in ring k for which skip is
// false.
func (r *rings) successor(k int, skip func(siskin.VMID) bool) (siskin.VMID, bool) {
	ring := r.positions[k]
	i, _ := slices.BinarySearchFunc(ring, position{place.Score(r.ringNames[k], r.self), r.self}, position.compare)
	for n := 1; n < len(ring); n++ {
		id := ring[(i+n)%len(ring)].id
		if id != r.self && !skip(id) {
			return id, true
		}
	}
	return "", false
}

// size returns the number of running members, self included.
func (r *rings) size() int { return len(r.positions[0]) }
