package shard

import (
	"sync"
	"testing"
)

// TestUpdateIsAtomic guards against lost updates when goroutines update the same
// keys concurrently.
func TestUpdateIsAtomic(t *testing.T) {
	const workers, rounds, keys = 8, 1000, 10
	m := New[int, int]()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range rounds {
				m.Update(i%keys, func(old int, _ bool) (int, bool) { return old + 1, true })
			}
		})
	}
	wg.Wait()
	sum := 0
	m.Range(func(_, v int) bool {
		sum += v
		return true
	})
	if got, want := sum, workers*rounds; got != want {
		t.Errorf("sum: got %d, want %d", got, want)
	}
	if got, want := m.Len(), keys; got != want {
		t.Errorf("Len: got %d, want %d", got, want)
	}
}

// TestUpdateRemoves guards against an entry that remains when change returns
// false for keep.
func TestUpdateRemoves(t *testing.T) {
	m := New[string, int]()
	m.Put("a", 1)
	m.Update("a", func(int, bool) (int, bool) { return 0, false })
	if _, ok := m.Get("a"); ok {
		t.Errorf("Get: got an entry, want none")
	}
}

func BenchmarkGet(b *testing.B) {
	m := New[string, int]()
	m.Put("customer", 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Get("customer")
		}
	})
}
