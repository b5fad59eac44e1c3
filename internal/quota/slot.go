package quota

import (
	"slices"

	"siskintray.example/siskin"
)

// Slot is an equal part of all rates.
type Slot struct {
	Holder siskin.VMID
	// From are the VMs that held the slot before and may not know yet that they
	// no longer do.
	From []siskin.VMID `json:",omitempty"`
	// Bounded is set if the holder stops to spend the share once it has not known
	// for RightsDuration that the record names it. VMs of earlier versions never
	// stop.
	Bounded bool `json:",omitempty"`
}

// continues reports whether the holder of the slot has held it since an earlier
// record that a VM may spend by. A hand-over appends to From, which is cleared when
// the rights of the former holders have ended.
func (s *Slot) continues(earlier *Slot) bool {
	return len(s.From) == 0 || slices.Equal(s.From, earlier.From)
}

// Rights says which VMs hold the shares of the customers' rates.
type Rights struct {
	// Version is the version of the record in the store, or zero if none is known.
	Version siskin.Version
	// Era is the era of the store in which the record was last written. One of an
	// earlier era than its version may be older than the shares in use.
	Era   siskin.Era
	Slots []Slot
}

// Restored reports whether the record comes from an older copy of the store.
func (r *Rights) Restored() bool { return r.Version != 0 && r.Era < r.Version.Era() }

// Count returns the number of slots that a VM holds.
func (r *Rights) Count(id siskin.VMID) int {
	n := 0
	for i := range r.Slots {
		if r.Slots[i].Holder == id {
			n++
		}
	}
	return n
}

// Clone returns a copy that shares no slots.
func (r *Rights) Clone() Rights {
	c := *r
	c.Slots = slices.Clone(r.Slots)
	return c
}
