// Package table holds the current deployment of a VM. Its version only
// increases.
package table

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// Table holds the current deployment. It is safe for concurrent use.
type Table struct {
	current atomic.Pointer[Snapshot]

	mu        sync.Mutex
	changed   chan struct{}
	confirmed time.Time
}

// New returns an empty table.
func New() *Table {
	t := &Table{changed: make(chan struct{})}
	t.current.Store(&Snapshot{})
	return t
}

// Snapshot returns the current deployment.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// Changed returns a channel that is closed when the deployment changes next.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Confirm records that the current version was the newest one at the given
// time.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Confirmed returns when the current version was last known to be the newest.
func (t *Table) Confirmed() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

// Apply replaces the current deployment if d is newer, and reports whether it
// was. The encoded form is kept for peers.
func (t *Table) Apply(d *siskin.Deployment, encoded []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.Version <= t.current.Load().Version {
		return false
	}
	t.current.Store(newSnapshot(d, encoded))
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Snapshot is one version of the deployment. It must not be modified.
type Snapshot struct {
	siskin.Deployment
	// Encoded is the deployment as the operator wrote it.
	Encoded []byte
	// Prioritized is set if the routes have more than one priority.
	Prioritized bool

	routes    map[string]*siskin.RouteSpec
	services  map[siskin.ServiceName]*siskin.ServiceSpec
	customers map[siskin.CustomerID]*siskin.CustomerSpec
	keys      map[[sha256.Size]byte]siskin.CustomerID
}

// newSnapshot indexes d and sets the priority classes of its routes.
func newSnapshot(d *siskin.Deployment, encoded []byte) *Snapshot {
	s := &Snapshot{
		Deployment: *d, Encoded: encoded,
		routes:    make(map[string]*siskin.RouteSpec, len(d.Routes)),
		services:  make(map[siskin.ServiceName]*siskin.ServiceSpec, len(d.Services)),
		customers: make(map[siskin.CustomerID]*siskin.CustomerSpec, len(d.Customers)),
		keys:      make(map[[sha256.Size]byte]siskin.CustomerID),
	}
	s.Prioritized = assignClasses(d.Routes)
	for i := range d.Routes {
		s.routes[d.Routes[i].Database] = &d.Routes[i]
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Customers {
		c := &d.Customers[i]
		s.customers[c.ID] = c
		for _, key := range c.Keys {
			s.keys[Digest(key)] = c.ID
		}
	}
	return s
}

// Digest returns the digest that sessions keep instead of a key.
func Digest(key string) [sha256.Size]byte { return sha256.Sum256([]byte(key)) }

// Route returns the route of a database.
func (s *Snapshot) Route(database string) (*siskin.RouteSpec, bool) {
	r, ok := s.routes[database]
	return r, ok
}

// Service returns the service with the given name.
func (s *Snapshot) Service(name siskin.ServiceName) (*siskin.ServiceSpec, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Customer returns the customer with the given ID.
func (s *Snapshot) Customer(id siskin.CustomerID) (*siskin.CustomerSpec, bool) {
	c, ok := s.customers[id]
	return c, ok
}

// CustomerByDigest returns the customer whose key has the given digest.
func (s *Snapshot) CustomerByDigest(digest [sha256.Size]byte) (siskin.CustomerID, bool) {
	c, ok := s.keys[digest]
	return c, ok
}
