package pool

import "testing"

// TestRetireReplacesWriters guards against writes on connections that were open
// when their target was demoted, since it refuses them permanently.
func TestRetireReplacesWriters(t *testing.T) {
	f := newFixture(t, 6)
	busy, idle, reader := f.get(t, Full, 1), f.get(t, Full, 2), f.get(t, ReadOnly, 3)
	idle.Recycle(2)
	reader.Recycle(3)
	f.RetireWriters(key.Target)
	slot, _ := f.slots.Get(key)
	slot.mu.Lock()
	if idle.state != connClosed || busy.state != connBusy || reader.state == connClosed {
		t.Errorf("got states %d (idle writer), %d (busy writer), %d (reader), want only the idle writer closed", idle.state, busy.state, reader.state)
	}
	slot.mu.Unlock()
	busy.Recycle(1)
	for owner := range uint64(4) {
		if c := f.get(t, Full, 10+owner); c == busy || c == idle {
			t.Errorf("request %d got a connection from before the change of primary", 10+owner)
		}
	}
}
