package crew

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/speed"
)

// Node describes a VM to its peers and in the store.
type Node struct {
	ID         siskin.VMID
	Run        siskin.Incarnation
	DataCentre siskin.DataCentreID `json:",omitempty"`
	Address    string              `json:",omitempty"`
	// Capacity is the CPU capacity of the VM.
	Capacity siskin.Millicores `json:",omitempty"`
}

// brief returns only the fields that identify the run of a VM, for a receiver
// that knows the others.
func (n *Node) brief() Node { return Node{ID: n.ID, Run: n.Run} }

func (n *Node) vm() siskin.VM {
	return siskin.VM{ID: n.ID, Incarnation: n.Run, DataCentre: n.DataCentre, PeerAddress: n.Address, State: siskin.VMLive, Capacity: n.Capacity}
}

// AgedProof is a primary proof with its age. The receiver counts the age from
// the time when it sent its request.
type AgedProof struct {
	Service  siskin.ServiceName
	Target   siskin.TargetID
	Position siskin.Position
	Term     siskin.Term `json:",omitempty"`
	Age      time.Duration
}

// ChangeNotice announces that a change of primary is in progress for the given
// time.
type ChangeNotice struct {
	Service siskin.ServiceName
	For     time.Duration
}

// EvacuationList lists the evacuated data centres.
type EvacuationList struct {
	DataCentres []siskin.DataCentreID `json:",omitempty"`
	// Version is the version of the store's list, and Age the time since that
	// list was current.
	Version siskin.Version
	Age     time.Duration
}

// State is what a VM sends with every ping and in every answer to one.
type State struct {
	// From describes the sender. It has only the identity when the receiver
	// knows the sender.
	From Node
	// KnownRun is the run of the receiver that the sender knows.
	KnownRun siskin.Incarnation `json:",omitempty"`
	Leaving  bool               `json:",omitempty"`
	Revision siskin.Revision    `json:",omitempty"`
	Leads    []AgedProof        `json:",omitempty"`
	// Loads are the numbers of statements that wait or run at the targets whose
	// home is the sender.
	Loads map[siskin.TargetID]int `json:",omitempty"`
	// Speeds are the times of reads of each class at the targets whose home is
	// the sender.
	Speeds map[siskin.TargetID][]speed.Report `json:",omitempty"`
	// Silent are the data centres of which no VM answers the sender. Only
	// relays report them.
	Silent []siskin.DataCentreID `json:",omitempty"`
	// Lost are VMs that do not answer the sender. Only relays report them.
	Lost []siskin.VMID `json:",omitempty"`
	// Overloads are the notices of demoted VMs that the sender knows. A VM
	// without one is not demoted.
	Overloads []OverloadNotice `json:",omitempty"`
	// Nodes are all VMs that the sender knows, if the receiver asked for them.
	Nodes []Node `json:",omitempty"`
	// PackedNodes replaces Nodes in a large fleet, in compressed form.
	PackedNodes []byte `json:",omitempty"`
	// WantNodes asks for Nodes.
	WantNodes bool `json:",omitempty"`
	// Known is the number of VMs that the sender knows.
	Known int `json:",omitempty"`
	// Covered are the leaving targets whose commits the staying ones have.
	Covered []siskin.TargetID `json:",omitempty"`
	// HasHolders is set when the sender knows the record of shares. VMs of
	// earlier versions learn it once and for good.
	HasHolders bool `json:",omitempty"`
	// Rights is the version of the record of shares that the sender knows, and
	// RightsAge the time since a read of the store showed that it is the latest
	// one, or zero if that is long ago. A VM that knows no record sets BoundsRights
	// if it spends no share for long without one; those that send Rights do.
	Rights       siskin.Version `json:",omitempty"`
	RightsAge    time.Duration  `json:",omitempty"`
	BoundsRights bool           `json:",omitempty"`
	// RevisionAge is the time since the revision was known to be the latest.
	RevisionAge time.Duration `json:",omitempty"`
	// Targets is the version of the sender's list of targets, and TargetsAge
	// the time since that list was requested.
	Targets    siskin.Version `json:",omitempty"`
	TargetsAge time.Duration  `json:",omitempty"`
	// Sizes are the sizes of the groups of which targets are missing.
	Sizes map[siskin.ServiceName]int `json:",omitempty"`
	// WantSizes asks for the sizes of all groups, which are SizesOfAll in the
	// reply if the receiver knows them.
	WantSizes  bool                       `json:",omitempty"`
	SizesOfAll map[siskin.ServiceName]int `json:",omitempty"`
	// Evacuations are the evacuations that the sender knows, or nil when it
	// knows no list.
	Evacuations *EvacuationList `json:",omitempty"`
	// Stamp lets the receiver lend shares of rates to the sender. Loans are the
	// shares that the sender lends to the receiver.
	Stamp quota.Stamp `json:",omitzero"`
	// Released is set when the sender has dropped its pools and the loans in
	// them.
	Released bool `json:",omitempty"`
	// Tokens are the tokens that the receiver gets back from its loans to the
	// sender.
	Tokens quota.Tokens `json:",omitempty"`
	Loans  *quota.Loans `json:",omitempty"`
}

// FetchArgs asks for data that is newer than the versions that the caller has.
type FetchArgs struct {
	Revision    siskin.Revision
	Targets     siskin.Version
	Rights      siskin.Version `json:",omitempty"`
	WantHolders bool           `json:",omitempty"`
}

// FetchReply has the configuration and the targets if they are newer.
type FetchReply struct {
	// Configuration is compressed with gzip.
	Configuration []byte              `json:",omitempty"`
	Targets       []siskin.TargetInfo `json:",omitempty"`
	TargetVersion siskin.Version      `json:",omitempty"`
	TargetAge     time.Duration       `json:",omitempty"`
	Holders       []siskin.VMID       `json:",omitempty"`
	Rights        *quota.Rights       `json:",omitempty"`
	RightsAge     time.Duration       `json:",omitempty"`
}
