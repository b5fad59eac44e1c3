package member

import "siskintray.example/siskin"

// Message is the part that probes and their answers share.
type Message struct {
	// From is the sender, without data centre and address.
	From Record
	// About is the sender's record of the receiver, unless it is live, so that
	// the receiver can refute it.
	About *Record `json:",omitempty"`
	// Hash is the hash of the sender's view.
	Hash uint32
	// Updates are the latest changes of the view.
	Updates []Record `json:",omitempty"`
	// Page is a page of the sender's running members, sent while hashes differ.
	Page []Record `json:",omitempty"`
}

// ProbeArgs are the arguments of Member.Probe.
type ProbeArgs struct {
	Message
	// Join requests the members with ids after After, in order.
	Join  bool        `json:",omitempty"`
	After siskin.VMID `json:",omitempty"`
}

// ProbeReply is the answer of Member.Probe.
type ProbeReply struct {
	Message
	// Members answers Join with up to joinPage records. If there are fewer,
	// none follow.
	Members []Record `json:",omitempty"`
}

// ProbeForArgs are the arguments of Member.ProbeFor.
type ProbeForArgs struct{ Target siskin.VMID }

// ProbeForReply is the answer of Member.ProbeFor.
type ProbeForReply struct {
	// Answered reports whether the target answered the probe.
	Answered bool
}

// joinPage is the number of records in one answer to Join, about 25 KB.
const joinPage = 250
