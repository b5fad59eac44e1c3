package crew

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quota"
)

// Node describes a VM to its peers and in the store.
type Node struct {
	ID         siskin.VMID
	Run        siskin.Incarnation
	DataCentre siskin.DataCentreID `json:",omitempty"`
	Address    string              `json:",omitempty"`
	// Capacity is the VM's processor.
	Capacity siskin.Millicores `json:",omitempty"`
}

// brief returns what identifies the run of a VM that the receiver knows.
func (n *Node) brief() Node { return Node{ID: n.ID, Run: n.Run} }

func (n *Node) vm() siskin.VM {
	return siskin.VM{ID: n.ID, Incarnation: n.Run, DataCentre: n.DataCentre, PeerAddress: n.Address, State: siskin.VMLive, Capacity: n.Capacity}
}

// LeadNote passes a proof of lead on. Its age is counted by the receiver from
// the moment before it asked.
type LeadNote struct {
	Service  siskin.ServiceName
	Target   siskin.TargetID
	Position siskin.Position
	Term     siskin.Term `json:",omitempty"`
	Age      time.Duration
}

// HoldNote says that a change of primary is in progress.
type HoldNote struct {
	Service siskin.ServiceName
	For     time.Duration
}

// EvacuationNote lists the evacuated data centres.
type EvacuationNote struct {
	DataCentres []siskin.DataCentreID `json:",omitempty"`
	// Version is that of the store's list, and Age the time since it was current.
	Version siskin.Version
	Age     time.Duration
}

// State is what a VM tells with every ping and its answer.
type State struct {
	// From describes the sender, in brief when the receiver knows it.
	From Node
	// KnownRun is the run of the receiver that the sender knows.
	KnownRun siskin.Incarnation `json:",omitempty"`
	Leaving  bool               `json:",omitempty"`
	Revision siskin.Revision    `json:",omitempty"`
	Leads    []LeadNote         `json:",omitempty"`
	// Loads are the statements that wait or run at the targets that the sender is
	// a home of.
	Loads map[siskin.TargetID]int `json:",omitempty"`
	// Silent are the data centres of which no VM answers the sender, a relay.
	Silent []siskin.DataCentreID `json:",omitempty"`
	// Lost are VMs that do not answer the sender, a relay.
	Lost []siskin.VMID `json:",omitempty"`
	// Nodes are all VMs that the sender knows, when the receiver asked for them.
	Nodes []Node `json:",omitempty"`
	// PackedNodes are the same, compressed, in a large fleet.
	PackedNodes []byte `json:",omitempty"`
	// WantNodes asks for Nodes.
	WantNodes bool `json:",omitempty"`
	// Known is the number of VMs that the sender knows.
	Known int `json:",omitempty"`
	// HasHolders says that the sender knows the record of shares.
	HasHolders bool `json:",omitempty"`
	// RevisionAge is the time since the revision was known to be the newest.
	RevisionAge time.Duration `json:",omitempty"`
	// Targets is the version of the sender's list of targets, and TargetsAge
	// the time since it was asked for.
	Targets    siskin.Version `json:",omitempty"`
	TargetsAge time.Duration  `json:",omitempty"`
	// Sizes are the numbers of targets of the groups that lack some.
	Sizes map[siskin.ServiceName]int `json:",omitempty"`
	// Evacuations are those that the sender knows, nil when it knows no list.
	Evacuations *EvacuationNote `json:",omitempty"`
	// Stamp lets the receiver lend shares of rates to the sender, and Loans are
	// those that the sender lends to the receiver.
	Stamp quota.Stamp `json:",omitzero"`
	// Released says that the sender dropped the loans that it held.
	Released bool `json:",omitempty"`
	// Tokens are those that the receiver gets back of loans to the sender.
	Tokens quota.Tokens `json:",omitempty"`
	Loans  *quota.Loans `json:",omitempty"`
}

// FetchArgs asks for what is newer than the receiver's state.
type FetchArgs struct {
	Revision    siskin.Revision
	Targets     siskin.Version
	WantHolders bool `json:",omitempty"`
}

// FetchReply holds the configuration and the targets if they are newer.
type FetchReply struct {
	// Configuration is compressed.
	Configuration []byte              `json:",omitempty"`
	Targets       []siskin.TargetInfo `json:",omitempty"`
	TargetVersion siskin.Version      `json:",omitempty"`
	TargetAge     time.Duration       `json:",omitempty"`
	Holders       []siskin.VMID       `json:",omitempty"`
}
