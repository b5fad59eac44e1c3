package feed

import (
	"errors"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
)

// evacuate replaces the evacuations, as an operator does.
func (s *fakeStore) evacuate(names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.evacuated = names
}

func (s *fakeStore) evacuationListCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuationLists
}

func (f *fixture) awaitEvacuated(t *testing.T, want []siskin.DataCentreID, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		got, _, at := f.roster.Evacuations()
		if !at.IsZero() && slices.Equal(got, want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("evacuations after %v: got %v, want %v", limit, got, want)
		}
	}
}

// TestEvacuationsInForce guards against an evacuation that is applied too
// late, also after an outage of the store or while the store cannot list
// evacuations.
func TestEvacuationsInForce(t *testing.T) {
	t.Parallel()
	f := startFeedWith(t, "evacuations")
	f.awaitEvacuated(t, nil, time.Second)
	f.store.evacuate("dc-a")
	f.awaitEvacuated(t, []siskin.DataCentreID{"dc-a"}, 2500*time.Millisecond)
	f.store.evacuate("dc-a", "dc-b")
	f.awaitEvacuated(t, []siskin.DataCentreID{"dc-a", "dc-b"}, 2500*time.Millisecond)
	f.store.set("1", errors.New("down"))
	f.store.evacuate("dc-b")
	time.Sleep(2500 * time.Millisecond)
	f.store.set("1", nil)
	f.awaitEvacuated(t, []siskin.DataCentreID{"dc-b"}, 2500*time.Millisecond)
	f.store.mu.Lock()
	f.store.evacuationsErr = errors.New("down")
	f.store.mu.Unlock()
	f.store.evacuate()
	time.Sleep(2500 * time.Millisecond)
	_, listed := f.roster.Version()
	if age := (boot.Clock{}).Since(listed); age > 2500*time.Millisecond {
		t.Errorf("age of the list of targets while evacuations cannot be read: got %v, want less than 2.5 s", age)
	}
	f.store.mu.Lock()
	f.store.evacuationsErr = nil
	f.store.mu.Unlock()
	f.awaitEvacuated(t, nil, 2500*time.Millisecond)
}

// TestUnchangedEvacuationsAreNotRead guards against reads of the evacuations
// while the version of the store is unchanged, or on platforms that have none.
func TestUnchangedEvacuationsAreNotRead(t *testing.T) {
	t.Parallel()
	for _, kind := range []siskin.ObjectKind{"evacuations", ""} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			f := startFeedWith(t, kind)
			f.await(t, "1", time.Second)
			time.Sleep(500 * time.Millisecond) // the first list has been read by then
			before := f.store.evacuationListCalls()
			if kind == "" && before > 0 {
				t.Errorf("reads of evacuations where there are none: got %d, want 0", before)
			}
			time.Sleep(5 * time.Second)
			if got := f.store.evacuationListCalls() - before; got > 0 {
				t.Errorf("reads of evacuations in 5 s without a change: got %d, want 0", got)
			}
		})
	}
}
