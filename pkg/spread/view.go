package spread

import (
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// view is an immutable snapshot of the configuration.
type view struct {
	shards   [shardCount]map[key]*entry
	revision siskin.Revision
	changed  <-chan struct{}
	names    func() *names
}

var _ config.View = (*view)(nil)

// Snapshot returns an immutable view of the configuration in force.
func (s *store) Snapshot() config.View { return s.snapshot() }

func (s *store) snapshot() *view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &view{revision: s.Revision(), changed: s.Changed()}
	for i := range v.shards {
		v.shards[i] = s.shardEntries(i)
	}
	v.names = sync.OnceValue(func() *names { return collectNames(&v.shards) })
	if n := s.names.Load(); n != nil {
		v.names = func() *names { return n }
	}
	return v
}

func (v *view) get(k key) *entry { return v.shards[shardOf(k)][k] }

// Revision implements config.View.
func (v *view) Revision() siskin.Revision { return v.revision }

// Service implements config.View.
func (v *view) Service(name siskin.ServiceName) (*config.Service, bool) {
	return v.get(key{ServiceKind, string(name)}).asService()
}

// Customer implements config.View.
func (v *view) Customer(id siskin.CustomerID) (*config.Customer, bool) {
	return v.get(key{CustomerKind, string(id)}).asCustomer()
}

// Services implements config.View.
func (v *view) Services() []siskin.ServiceName { return v.names().services }

// Customers implements config.View.
func (v *view) Customers() []siskin.CustomerID { return v.names().customers }

// Changed implements config.View.
func (v *view) Changed() <-chan struct{} { return v.changed }
