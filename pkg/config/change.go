package config

import "siskintray.example/siskin"

// Change is a set of documents to put and delete atomically. It is stored as an
// immutable object and takes effect by a single update of the head.
type Change struct {
	// Base is the revision of the configuration that the change was made from.
	// A document that changed after Base is not overwritten.
	Base            siskin.Revision
	Services        []*Service           `json:",omitempty"`
	Customers       []*Customer          `json:",omitempty"`
	DeleteServices  []siskin.ServiceName `json:",omitempty"`
	DeleteCustomers []siskin.CustomerID  `json:",omitempty"`
}

// IsEmpty reports whether the change puts and deletes nothing.
func (c *Change) IsEmpty() bool {
	return len(c.Services)+len(c.Customers)+len(c.DeleteServices)+len(c.DeleteCustomers) == 0
}

// SetRevision sets the revision of the documents that the change puts to r, the
// revision that the change creates.
func (c *Change) SetRevision(r siskin.Revision) {
	for _, s := range c.Services {
		s.Revision = r
	}
	for _, d := range c.Customers {
		d.Revision = r
	}
}
