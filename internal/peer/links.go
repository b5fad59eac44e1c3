package peer

import (
	"sync"

	"siskintray.example/siskin"
)

// Links injects network faults in tests that run several VMs in one process and
// share it among them: it drops the frames of links that are cut. The zero value
// drops nothing.
type Links struct {
	mu        sync.RWMutex
	partition map[siskin.VMID]int
	cut       map[link]bool
}

type link struct{ from, to siskin.VMID }

// Cut drops frames in both directions between a and b.
func (l *Links) Cut(a, b siskin.VMID) {
	l.CutOneWay(a, b)
	l.CutOneWay(b, a)
}

// CutOneWay drops frames from one VM to another.
func (l *Links) CutOneWay(from, to siskin.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		l.cut = make(map[link]bool)
	}
	l.cut[link{from, to}] = true
}

// Isolate moves VMs into a separate network partition: frames between them and
// all other VMs are dropped.
func (l *Links) Isolate(vms ...siskin.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partition == nil {
		l.partition = make(map[siskin.VMID]int)
	}
	partition := len(l.partition) + 1
	for _, vm := range vms {
		l.partition[vm] = partition
	}
}

// Heal restores all links.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partition, l.cut = nil, nil
}

// Drop reports whether a frame is dropped. It is a value for Config.Drop.
func (l *Links) Drop(from, to siskin.VMID) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.partition[from] != l.partition[to] || l.cut[link{from, to}]
}
