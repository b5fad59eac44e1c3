package pool

import "testing"

// TestCloseOlder guards against leasing connections from before a fault of the
// target one after the other, and against closing newer ones, those in use or
// those of the other account with them.
func TestCloseOlder(t *testing.T) {
	f := newFixture(t, 8)
	oldest, stale := f.get(t, Full, 1), f.get(t, Full, 2)
	busy, reader := f.get(t, Full, 3), f.get(t, ReadOnly, 4)
	young := f.get(t, Full, 5)
	f.locked(key, func() {
		young.openedAt = stale.openedAt.Add(1)
		for _, c := range []*Conn{oldest, busy, reader} {
			c.openedAt = stale.openedAt.Add(-1)
		}
	})
	oldest.Recycle(1)
	reader.Recycle(4)
	young.Recycle(5)
	stale.CloseOlder()
	f.locked(key, func() {
		for _, tt := range []struct {
			name string
			c    *Conn
			want connState
		}{{"oldest", oldest, connClosed}, {"stale", stale, connClosed}, {"in use", busy, connBusy}, {"read-only", reader, connIdle}, {"younger", young, connIdle}} {
			if tt.c.state != tt.want {
				t.Errorf("%s: got state %d, want %d", tt.name, tt.c.state, tt.want)
			}
		}
	})
	busy.Recycle(3)
}

// locked calls run with the lock of a slot held.
func (f *fixture) locked(key Key, run func()) {
	s, _ := f.slots.Get(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	run()
}
