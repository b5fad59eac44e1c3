package member

import (
	"cmp"

	"siskintray.example/siskin"
)

// Record is the state of one member as VMs exchange it.
type Record struct {
	ID          siskin.VMID
	Incarnation siskin.Incarnation
	// Refutations grows each time the member refutes a suspicion.
	Refutations uint64 `json:",omitempty"`
	// State is VMLive, VMSuspect, VMDead or VMGone.
	State siskin.VMState
	// Leaving stays set until the end of the incarnation.
	Leaving    bool                `json:",omitempty"`
	DataCentre siskin.DataCentreID `json:",omitempty"`
	Address    string              `json:",omitempty"`
	// Forward is the address for forwarded transactions. It is sent whenever
	// Address is.
	Forward string `json:",omitempty"`
}

// compare orders two records of a member by incarnation and refutation count.
// It ignores their states.
func (r Record) compare(o Record) int {
	if c := cmp.Compare(r.Incarnation, o.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(r.Refutations, o.Refutations)
}

// merge returns the record that results from knowing both. It is commutative
// apart from the address, and a gone incarnation stays gone.
func (r Record) merge(o Record) Record {
	if o.Incarnation < r.Incarnation {
		return r.withLocation(o)
	}
	if o.Incarnation > r.Incarnation {
		return o.withLocation(r)
	}
	winner := r
	gone := r.State == siskin.VMGone || o.State == siskin.VMGone
	if c := o.compare(r); c > 0 || c == 0 && o.State > r.State {
		winner = o.withLocation(r)
	} else {
		winner = r.withLocation(o)
	}
	winner.Leaving = r.Leaving || o.Leaving
	if gone {
		winner.State = siskin.VMGone
	}
	return winner
}

// withLocation fills a missing data centre and address from o.
func (r Record) withLocation(o Record) Record {
	if r.Address == "" {
		r.DataCentre, r.Address, r.Forward = o.DataCentre, o.Address, o.Forward
	}
	return r
}

// up reports whether the member counts as running.
func (r Record) up() bool { return r.State == siskin.VMLive || r.State == siskin.VMSuspect }

// vm converts the record to a siskin.VM.
func (r Record) vm() siskin.VM {
	state := r.State
	if r.Leaving && r.up() {
		state = siskin.VMLeaving
	}
	return siskin.VM{
		ID:             r.ID,
		Incarnation:    r.Incarnation,
		DataCentre:     r.DataCentre,
		PeerAddress:    r.Address,
		ForwardAddress: r.Forward,
		State:          state,
	}
}

// valid reports whether the record has an id and a state that State allows; other
// records of a peer would corrupt the view.
func (r Record) valid() bool {
	switch r.State {
	case siskin.VMLive, siskin.VMSuspect, siskin.VMDead, siskin.VMGone:
		return r.ID != ""
	default:
		return false
	}
}
