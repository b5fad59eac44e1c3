package feed

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
)

// fakeStore holds one configuration and returns errors set by the test.
type fakeStore struct {
	mu    sync.Mutex
	err   error
	reads int
	value string
	rev   siskin.Version
	bytes int // of configurations returned
	// evacuated holds the names of the objects of kind evacuations,
	// evacuationLists counts the reads of them, and evacuationsErr is the
	// error of these reads.
	evacuated       []string
	targets         []siskin.StoreObject
	targetLists     int // reads of the list of targets
	creations       int // calls of Create
	createErr       error
	evacuationLists int
	evacuationsErr  error
}

func (s *fakeStore) Get(_ context.Context, kind siskin.ObjectKind, _ string) (siskin.StoreObject, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == rightsKind {
		return siskin.StoreObject{}, siskin.NewError(siskin.Conflict, "there is no record")
	}
	s.reads++
	s.bytes += len(s.value)
	return siskin.StoreObject{Name: "main", Version: s.rev + 1, Value: json.RawMessage(s.value)}, s.err
}

func (s *fakeStore) Changes(_ context.Context, _ siskin.ObjectKind, after siskin.Version) (siskin.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	l := siskin.Listing{Version: s.rev + 1}
	if s.rev+1 > after {
		s.bytes += len(s.value)
		l.Objects = append(l.Objects, siskin.StoreObject{Name: "main", Version: s.rev + 1, Value: json.RawMessage(s.value)})
	}
	return l, s.err
}

func (s *fakeStore) List(_ context.Context, kind siskin.ObjectKind) (siskin.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := siskin.Listing{Version: s.rev + 1}
	if kind != "evacuations" {
		s.targetLists++
		l.Objects = s.targets
		return l, s.err
	}
	s.evacuationLists++
	for _, name := range s.evacuated {
		l.Objects = append(l.Objects, siskin.StoreObject{Name: name, Version: s.rev})
	}
	return l, errors.Join(s.err, s.evacuationsErr)
}

func (s *fakeStore) Create(context.Context, siskin.ObjectKind, string, any) (siskin.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.creations++
	return 1, s.createErr
}

func (s *fakeStore) Update(context.Context, siskin.ObjectKind, string, any, siskin.Version) (siskin.Version, error) {
	return 1, nil
}

func (s *fakeStore) set(value string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value != s.value {
		s.rev++
	}
	s.value, s.err = value, err
}

func (s *fakeStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

type fixture struct {
	store   *fakeStore
	table   *table.Table
	roster  *roster.Roster
	mu      sync.Mutex
	applied []string
}

func startFeed(t *testing.T) *fixture { return startFeedWith(t, "") }

func startFeedWith(t *testing.T, evacuations siskin.ObjectKind) *fixture {
	t.Helper()
	targets := roster.New()
	f := &fixture{store: &fakeStore{value: "1"}, table: table.New(), roster: targets}
	l := logs.New("error", "json", io.Discard)
	if evacuations != "" {
		targets.RequireEvacuations(5 * time.Second)
	}
	members := crew.New(crew.Config{Clock: boot.Clock{}, Self: crew.Node{ID: "vm"}, Table: f.table, Roster: targets, Log: l})
	rights := quota.New(quota.Config{Clock: boot.Clock{}, Table: f.table, Members: members, Log: l})
	rights.SetRights(quota.Rights{Version: 1, Era: siskin.FirstEra, Slots: []quota.Slot{{Holder: "vm", Bounded: true}}}, boot.Clock{}.Now())
	feed := Start(Config{
		EvacuationKind: evacuations,
		Clock:          boot.Clock{}, Store: f.store, Log: l, Table: f.table, Roster: targets, ConfigName: "main",
		Crew: members, Rights: rights,
		Apply: func(encoded []byte, _ string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if n := len(f.applied); n == 0 || f.applied[n-1] != string(encoded) {
				f.applied = append(f.applied, string(encoded))
			}
		},
	})
	t.Cleanup(func() {
		if err := feed.Close(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *fixture) newest() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.applied) == 0 {
		return ""
	}
	return f.applied[len(f.applied)-1]
}

func (f *fixture) await(t *testing.T, want string, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); f.newest() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("configuration after %v: got %q, want %q", limit, f.newest(), want)
		}
	}
}

// TestConfigurationInForce guards against changes that take longer than the
// users allow, which is 3 s, also right after an outage of the store.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := startFeed(t)
	f.await(t, "1", time.Second)
	f.store.set("2", nil)
	f.await(t, "2", 3*time.Second)
	f.store.set("3", errors.New("down"))
	time.Sleep(1500 * time.Millisecond)
	f.store.set("3", nil)
	f.await(t, "3", 3*time.Second)
}

// TestOlderListsAreReadWithPauses guards against a loop of reads without a pause
// while the store returns lists that are older than the one in force.
func TestOlderListsAreReadWithPauses(t *testing.T) {
	f := startFeed(t)
	f.await(t, "1", 2*time.Second)
	f.roster.Replace(nil, 1000, boot.Clock{}.Now())
	lists := func() int {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.targetLists
	}
	time.Sleep(targetMaxAge + nonReaderDelay + maxJitter)
	before := lists()
	const interval = 3 * time.Second
	time.Sleep(interval)
	// Reads are at least half of minBackoff apart, and less often each time.
	if got, want := lists()-before, int(interval/minBackoff)/2; got > want || got < 1 {
		t.Errorf("reads of an older list within %v: got %d, want 1 to %d", interval, got, want)
	}
}

// TestUnchangedIsNotRead guards against reads of a large configuration that
// has not changed. Reads of 1 MB every second filled the links of small VMs.
func TestUnchangedIsNotRead(t *testing.T) {
	t.Parallel()
	f := startFeed(t)
	f.store.set(strings.Repeat("9", 100_000), nil)
	f.await(t, strings.Repeat("9", 100_000), 3*time.Second)
	f.store.mu.Lock()
	before := f.store.bytes
	f.store.mu.Unlock()
	time.Sleep(3 * time.Second)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if got := f.store.bytes - before; got > 0 {
		t.Errorf("bytes of an unchanged configuration in 3 s: got %d, want none", got)
	}
}

// TestOthersRead guards against a VM that reads the store although a peer has
// just done so, and against one that does not resume reading when its peers
// stop.
func TestOthersRead(t *testing.T) {
	t.Parallel()
	f := startFeed(t)
	f.await(t, "1", time.Second)
	// A peer's read reaches this VM every 300 ms.
	before := f.store.readCount()
	for range 10 {
		f.table.Confirm(boot.Clock{}.Now())
		time.Sleep(300 * time.Millisecond)
	}
	if got := f.store.readCount() - before; got > 0 {
		t.Errorf("reads while a peer reads: got %d, want 0", got)
	}
	f.store.set("2", nil)
	f.await(t, "2", 3*time.Second)
}
