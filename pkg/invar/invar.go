// Package invar checks invariants at run time. A violation is counted and passed
// to a handler; in tests the handler ends the run.
package invar

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Invariant is one condition that must always hold.
type Invariant struct {
	name       string
	violations atomic.Int64
}

var registry struct {
	mu      sync.Mutex
	all     []*Invariant
	handler func(name, detail string)
}

// New registers an invariant under a PascalCase name such as
// "AckedByCurrentPrimary". Call it to initialize a package variable.
func New(name string) *Invariant {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	inv := &Invariant{name: name}
	registry.all = append(registry.all, inv)
	return inv
}

// Check records a violation when ok is false and returns ok. The detail is
// formatted only on a violation.
func (inv *Invariant) Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	inv.violations.Add(1)
	registry.mu.Lock()
	handler := registry.handler
	registry.mu.Unlock()
	if handler != nil {
		handler(inv.name, fmt.Sprintf(format, args...))
	}
	return false
}

// OnViolation sets the handler that is called for each violation, for instance
// to log it or to end the test. The returned function restores the previous
// handler.
func OnViolation(handler func(name, detail string)) (restore func()) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	previous := registry.handler
	registry.handler = handler
	return func() { OnViolation(previous) }
}

// Violations returns the number of violations of each registered invariant.
func Violations() map[string]int64 {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	counts := make(map[string]int64, len(registry.all))
	for _, inv := range registry.all {
		counts[inv.name] += inv.violations.Load()
	}
	return counts
}
