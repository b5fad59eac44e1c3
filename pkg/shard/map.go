// Package shard provides a map that is split into shards with a lock each, so
// that goroutines that use different keys rarely contend.
package shard

import (
	"hash/maphash"
	"sync"
)

// shardCount is a power of two well above the core count of the VMs, so that
// two running threads rarely need the same lock.
const shardCount = 64

// Map is a map split into shards. The zero value is not usable; call New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.RWMutex
	m  map[K]V
	_  [64]byte // keeps the locks of neighboring shards on different cache lines
}

// New returns an empty map.
func New[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].m = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Get returns the value of key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.shard(key)
	p.mu.RLock()
	defer p.mu.RUnlock()
	v, ok := p.m[key]
	return v, ok
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	p := m.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m[key] = value
}

// GetOrCreate returns the value of key, or stores and returns the result of
// create if there is none. The function create is called with the lock of the
// shard held and must not use the map.
func (m *Map[K, V]) GetOrCreate(key K, create func() V) V {
	if v, ok := m.Get(key); ok {
		return v
	}
	p := m.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, ok := p.m[key]; ok {
		return v
	}
	v := create()
	p.m[key] = v
	return v
}

// Update replaces the value of key by the result of change, or removes the entry
// if keep is false. The function change is called with the lock of the shard
// held and must not use the map.
func (m *Map[K, V]) Update(key K, change func(old V, ok bool) (value V, keep bool)) {
	p := m.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.m[key]
	value, keep := change(old, ok)
	if !keep {
		delete(p.m, key)
		return
	}
	p.m[key] = value
}

// Delete removes key and returns its value and whether there was one.
func (m *Map[K, V]) Delete(key K) (V, bool) {
	p := m.shard(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.m[key]
	delete(p.m, key)
	return v, ok
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.RLock()
		n += len(p.m)
		p.mu.RUnlock()
	}
	return n
}

// Range calls visit for each entry of a copy of each shard in turn, until visit
// returns false. The function visit may use the map.
func (m *Map[K, V]) Range(visit func(key K, value V) bool) {
	for i := range m.shards {
		for k, v := range m.shards[i].copy() {
			if !visit(k, v) {
				return
			}
		}
	}
}

func (p *shard[K, V]) copy() map[K]V {
	p.mu.RLock()
	defer p.mu.RUnlock()
	c := make(map[K]V, len(p.m))
	for k, v := range p.m {
		c[k] = v
	}
	return c
}
