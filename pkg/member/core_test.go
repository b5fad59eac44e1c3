package member

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
)

func parseRecord(f []string) Record {
	r := Record{ID: siskin.VMID(f[0]), DataCentre: "a", Address: "127.0.0.1:1"}
	inc, n, _ := strings.Cut(f[1], ".")
	i, _ := strconv.ParseUint(inc, 10, 64)
	r.Incarnation = siskin.Incarnation(i)
	r.Refutations, _ = strconv.ParseUint(n, 10, 64)
	for _, state := range []siskin.VMState{siskin.VMLive, siskin.VMSuspect, siskin.VMDead, siskin.VMGone} {
		if state.String() == f[2] {
			r.State = state
		}
	}
	r.Leaving = len(f) > 3
	return r
}

func describe(c *core, id siskin.VMID) string {
	r := c.self
	if id != r.ID {
		if c.members[id] == nil {
			return "unknown"
		}
		r = c.members[id].Record
	}
	s := fmt.Sprintf("%d.%d %v", r.Incarnation, r.Refutations, r.State)
	if r.Leaving {
		s += " Leaving"
	}
	return s
}

// TestRules guards against wrong precedence among records, such as late
// suspicions, records of earlier runs, records of gone VMs and refutations. The
// cases are in testdata.
func TestRules(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/rules.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range ar.Files {
		now, last := time.Unix(0, 0), plan{}
		c := newCore(Config{Self: siskin.VM{ID: "self", Incarnation: 5}, SuspicionTimeout: time.Second, ProbeInterval: time.Second, DeadProbeInterval: time.Hour}, now)
		for line := range strings.Lines(string(file.Data)) {
			f := strings.Fields(line)
			switch f[0] {
			case "hear":
				c.accept(now, parseRecord(f[1:]))
			case "page":
				c.acceptPaged(now, parseRecord(f[1:]))
			case "list":
				r := parseRecord(f[1:])
				c.acceptList(now, []siskin.VM{{ID: r.ID, Incarnation: r.Incarnation, State: r.State}})
			case "silent":
				c.noteFailedProbe(now, parseRecord(append(f[1:], "Live")))
			case "late":
				c.suspend(now, now.Add(overloadSuspension))
			case "wait":
				d, _ := time.ParseDuration(f[1])
				now = now.Add(d)
				last = c.step(now)
			case "pushes":
				if got, want := fmt.Sprint(last.pushes), fmt.Sprint(f[1:]); got != want {
					t.Errorf("%s: pushes: got %s, want %s", file.Name, got, want)
				}
			case "want":
				if got, want := describe(c, siskin.VMID(f[1])), strings.Join(f[2:], " "); got != want {
					t.Errorf("%s: %s: got %s, want %s", file.Name, f[1], got, want)
				}
			case "superseded":
				if got := fmt.Sprint(c.superseded); got != f[1] {
					t.Errorf("%s: superseded: got %s, want %s", file.Name, got, f[1])
				}
			}
		}
	}
}

// TestMerge guards against views that depend on the order in which records
// arrive, and so never agree.
func TestMerge(t *testing.T) { mergeAnyOrder(t) }

// TestSoakMerge repeats the run of TestMerge with growing seeds.
func TestSoakMerge(t *testing.T) { soak.Rapid(t, mergeAnyOrder) }

func mergeAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gen := rapid.Custom(func(t *rapid.T) Record {
			return Record{
				ID: "a", Incarnation: siskin.Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")), Refutations: rapid.Uint64Range(0, 2).Draw(t, "n"),
				State:   rapid.SampledFrom([]siskin.VMState{siskin.VMLive, siskin.VMSuspect, siskin.VMDead, siskin.VMGone}).Draw(t, "state"),
				Leaving: rapid.Bool().Draw(t, "leaving"), Address: "x",
			}
		})
		a, b, c := gen.Draw(t, "a"), gen.Draw(t, "b"), gen.Draw(t, "c")
		if a.merge(b) != b.merge(a) || a.merge(b).merge(c) != a.merge(b.merge(c)) || a.merge(a) != a || a.merge(b).merge(b) != a.merge(b) {
			t.Fatalf("merge of %v, %v and %v depends on their order", a, b, c)
		}
	})
}

// FuzzReceive guards against messages that crash a VM or revert its view to an
// earlier incarnation; the invariants panic in tests.
func FuzzReceive(f *testing.F) {
	seedMessage, _ := json.Marshal(ProbeArgs{Message: Message{
		From: Record{ID: "b", Incarnation: 1, State: siskin.VMLive}, About: &Record{ID: "self", Incarnation: 5, State: siskin.VMDead},
		Updates: []Record{{ID: "b", Incarnation: 1, State: siskin.VMLive, Address: "x"}}, Page: []Record{{ID: "c", State: siskin.VMSuspect}},
	}})
	f.Add(seedMessage)
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.Unix(0, 0)
		c := newCore(Config{Self: siskin.VM{ID: "self", Incarnation: 5}, ProbeInterval: time.Second, DeadProbeInterval: time.Second}, now)
		var args ProbeArgs
		if json.Unmarshal(b, &args) != nil {
			return
		}
		c.receive(now, args.Message)
		c.step(now.Add(time.Minute))
		if got := c.message(now, args.From.ID); len(got.Updates) > maxUpdates || len(got.Page) > maxPage+1 || size(got) > 1<<16+len(b)*50 {
			t.Errorf("got %d updates and %d paged records, want bounded numbers", len(got.Updates), len(got.Page))
		}
	})
}

// TestNoPageOnOneOldHash guards against pages that are sent because one message
// had a different hash, for instance at the start of a fleet: in 3 of 26 runs on
// a busy machine such pages were half of the traffic of 40 VMs.
func TestNoPageOnOneOldHash(t *testing.T) {
	now := time.Unix(100, 0)
	c := newCore(Config{Self: siskin.VM{ID: "a", Incarnation: 1, PeerAddress: "a"}, ProbeInterval: time.Second, DeadProbeInterval: time.Second}, now)
	b := Record{ID: "b", Incarnation: 1, State: siskin.VMLive, Address: "b"}
	c.accept(now, b)
	c.receive(now, Message{From: b, Hash: c.hash + 1})
	now = now.Add(2 * hashGrace)
	if got := c.message(now, "b").Page; got != nil {
		t.Errorf("page after one differing hash: got %d records, want none", len(got))
	}
	c.receive(now, Message{From: b, Hash: c.hash + 1})
	if got := c.message(now, "b").Page; len(got) == 0 {
		t.Error("page after the hashes differed for long: got none, want the members")
	}
	c.receive(now, Message{From: b, Hash: c.hash})
	if got := c.message(now, "b").Page; got != nil {
		t.Errorf("page after the hashes agree: got %d records, want none", len(got))
	}
}
