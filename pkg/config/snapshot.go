package config

import "siskintray.example/siskin"

// Snapshot is a View of fixed documents at a given revision, such as an export.
type Snapshot struct {
	*StaticView
	revision siskin.Revision
}

// NewSnapshot returns a view of the given documents. Revision 0 is the view
// before the first change.
func NewSnapshot(revision siskin.Revision, services []*Service, customers []*Customer) *Snapshot {
	return &Snapshot{NewStaticView(services, customers), revision}
}

// Revision implements View.
func (s *Snapshot) Revision() siskin.Revision { return s.revision }
