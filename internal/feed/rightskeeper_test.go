package feed

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quota"
)

// rightsStore keeps the record of share holders.
type rightsStore struct {
	siskin.Store
	value   json.RawMessage
	version siskin.Version
	// lostAnswers is the number of writes that are carried out without an answer,
	// and conflicts the number before which another VM writes.
	lostAnswers, conflicts int
}

func (s *rightsStore) Get(_ context.Context, _ siskin.ObjectKind, name string) (siskin.StoreObject, error) {
	return siskin.StoreObject{Name: name, Version: s.version, Value: s.value}, nil
}

func (s *rightsStore) Update(_ context.Context, _ siskin.ObjectKind, name string, v any, old siskin.Version) (siskin.Version, error) {
	if s.conflicts > 0 {
		s.conflicts--
		s.version++
	}
	if old != s.version {
		return 0, siskin.NewError(siskin.Conflict, "%s has version %d", name, s.version)
	}
	s.version++
	s.value, _ = json.Marshal(v)
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, siskin.NewError(siskin.OutcomeUnknown, "no answer")
	}
	return s.version, nil
}

// newKeeper returns a keeper at a VM named vm, for a fleet of the given live VMs.
func newKeeper(t *testing.T, live string, list ...quota.Slot) (*rightsKeeper, *rightsStore) {
	t.Helper()
	s := &rightsStore{version: 1}
	s.value, _ = json.Marshal(newRightsRecord(list, siskin.FirstEra))
	f := newRightsFeed(t, s)
	if err := f.readRights(t.Context()); err != nil {
		t.Fatal(err)
	}
	k := f.newRightsKeeper()
	k.live = func() []siskin.VM { return liveVMs(live) }
	k.bounds = func(id siskin.VMID) bool { return id != "old" }
	return k, s
}

func slot(id siskin.VMID, from ...siskin.VMID) quota.Slot {
	return quota.Slot{Holder: id, From: from, Bounded: id != "old"}
}

func liveVMs(ids string) (list []siskin.VM) {
	for id := range strings.FieldsSeq(ids) {
		list = append(list, siskin.VM{ID: siskin.VMID(id)})
	}
	return list
}

func format(list []quota.Slot) string {
	var words []string
	for _, s := range list {
		word := string(s.Holder)
		for _, id := range s.From {
			word += "<" + string(id)
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// TestSlotsOfGoneVMs guards against shares that nobody can get back once their
// holders are gone, and against shares of VMs that are only silent for a while or
// of a version that never stops to spend its share.
func TestSlotsOfGoneVMs(t *testing.T) {
	k, _ := newKeeper(t, "vm", slot("vm"))
	start := time.Unix(1000, 0)
	k.knownSince = start
	for _, c := range []struct {
		name string
		now  time.Duration
		live string
		list []quota.Slot
		want string
	}{
		{"all live", 0, "vm b c", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b c"},
		{"one missing", 0, "vm b d", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b c"},
		{"missing for a while", goneDelay - time.Second, "vm b d", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b c"},
		{"back", goneDelay, "vm b c d", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b c"},
		{"missing again", goneDelay + time.Second, "vm b d", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b c"},
		{"gone", 2*goneDelay + time.Second, "vm b d", []quota.Slot{slot("vm"), slot("b"), slot("c")}, "vm b d<c"},
		{"without another VM", 2*goneDelay + time.Second, "vm b", []quota.Slot{slot("vm"), slot("vm"), slot("c")}, "vm vm b<c"},
		{"its successor is gone as well", 2*goneDelay + time.Second, "vm b", []quota.Slot{slot("vm"), slot("b"), slot("c", "e")}, "vm b b<e<c"},
		{"a VM of the version before", 2*goneDelay + time.Second, "vm b d", []quota.Slot{slot("vm"), slot("b"), slot("old")}, "vm b old"},
		{"known for long enough", quota.TakeoverDelay, "vm b c", []quota.Slot{slot("vm"), slot("b"), slot("c", "e")}, "vm b c"},
	} {
		r := quota.Rights{Version: 1, Era: siskin.FirstEra, Slots: c.list}
		before := format(c.list)
		got, changed := k.plan(&r, liveVMs(c.live), start.Add(c.now))
		// The order of VMs with as many slots depends on their ids.
		if c.name == "its successor is gone as well" {
			c.want = strings.ReplaceAll(c.want, "b b<", "b "+string(got[2].Holder)+"<")
		}
		if format(got) != c.want || changed != (before != c.want) {
			t.Errorf("%s: got %s and %t, want %s", c.name, format(got), changed, c.want)
		}
		if format(c.list) != before {
			t.Errorf("%s: the known record changed to %s", c.name, format(c.list))
		}
	}
}

// TestGiveUp guards against a VM that spends a share which it may have given away,
// against a share that is lost with a VM that stops as planned, and against a VM
// that gives its share away although it only restarts.
func TestGiveUp(t *testing.T) {
	for _, c := range []struct {
		name, live             string
		lostAnswers, conflicts int
		want                   string
		wantShare              float64
	}{
		{"all other VMs have a slot", "b", 0, 0, "vm b", 0.5},
		{"a VM of the version before", "b old", 0, 0, "vm b", 0.5},
		{"a VM without a slot", "b c", 0, 0, "c b", 0},
		{"an answer is lost", "b c", 1, 0, "c b", 0},
		{"another VM writes first", "b c", 0, 2, "c b", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k, s := newKeeper(t, c.live, slot("vm"), slot("b"))
			s.lostAnswers, s.conflicts = c.lostAnswers, c.conflicts
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			k.giveUp(ctx)
			var r rightsRecord
			if err := json.Unmarshal(s.value, &r); err != nil {
				t.Fatal(err)
			}
			if got := format(r.Slots); got != c.want {
				t.Errorf("slots: got %s, want %s", got, c.want)
			}
			if got := k.f.cfg.Rights.Share(); got != c.wantShare {
				t.Errorf("share: got %v, want %v", got, c.wantShare)
			}
		})
	}
}
