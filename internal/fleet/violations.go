package fleet

import (
	"sync"

	"siskintray.example/siskin/pkg/invar"
)

// Violations collects the invariants broken in this process.
type Violations struct {
	mu      sync.Mutex
	found   []string
	restore func()
}

// CollectViolations starts to collect. Restore ends it.
func CollectViolations() *Violations {
	v := &Violations{}
	v.restore = invar.OnViolation(func(name, detail string) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.found = append(v.found, "invariant "+name+": "+detail)
	})
	return v
}

// List returns what was found so far.
func (v *Violations) List() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.found...)
}

// Restore sets the handler of violations that was in force before.
func (v *Violations) Restore() { v.restore() }
