// Package explain describes where a VM of the session protocol would send a
// statement now, and why.
package explain

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Path is the path of explanations on a VM's Metrics.Address. The query has the
// fields of Query.
const Path = "/explain"

// Query names a statement.
type Query struct {
	Customer siskin.CustomerID
	Database string
	Kind     Kind
}

// Kind is a kind of statement to explain.
type Kind string

// Values of Kind.
const (
	Read                Kind = "read"
	Write               Kind = "write"
	Transaction         Kind = "transaction"
	ReadOnlyTransaction Kind = "readonly"
)

// Kinds are all values of Kind.
var Kinds = []Kind{Read, Write, Transaction, ReadOnlyTransaction}

// Explanation is the answer to a Query.
type Explanation struct {
	VM       siskin.VMID
	Revision siskin.Revision
	Query    Query
	Service  siskin.ServiceName
	Route    string
	Class    siskin.PriorityClass
	// Timeout is that of the route, and Objective its latency objective.
	Timeout, Objective config.Duration
	// Rate and Burst are those of the customer in the fleet. Whether a token is
	// left is known only when one is taken.
	Rate  siskin.RequestsPerSecond
	Burst siskin.Requests
	// Primary is empty if no primary is known. ProofAge is the age of its proof.
	Primary  siskin.TargetID `json:",omitempty"`
	ProofAge config.Duration `json:",omitempty"`
	// Floor is the position that a read must see, other than the session's own
	// commits. It meets the bound of the route for FloorValid.
	Floor      string          `json:",omitempty"`
	FloorValid config.Duration `json:",omitempty"`
	Targets    []Target
	// Target is where the statement would go. It is empty if the statement would
	// be refused.
	Target siskin.TargetID `json:",omitempty"`
	Reason string
}

// Target is a target of the service.
type Target struct {
	ID         siskin.TargetID
	DataCentre siskin.DataCentreID
	Home       siskin.VMID `json:",omitempty"`
	// Load is the reported number of statements that wait or run, LoadAge the age
	// of the report, and Running the number of statements of this VM.
	Load, Running int
	LoadAge       config.Duration `json:",omitempty"`
	// Expected is the expected time of statements of the kind, and Samples the
	// number of samples that it is worth. Both are zero if it is not known.
	Expected config.Duration `json:",omitempty"`
	Samples  int             `json:",omitempty"`
	// Limit is the number of statements that the home runs at a time, or zero if
	// it is not known.
	Limit    int             `json:",omitempty"`
	Distance config.Duration `json:",omitempty"`
	// Factor is the expected time of reads in terms of the middle target. Cost is
	// what reads are chosen by, in statements, without its random part.
	Factor float64 `json:",omitempty"`
	Cost   float64 `json:",omitempty"`
	// Excluded is why no read goes to the target, and Notes what adds to its
	// cost.
	Excluded string   `json:",omitempty"`
	Notes    []string `json:",omitempty"`
}
