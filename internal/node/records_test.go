package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/pkg/invar"
)

// recordFleet holds the records of VMs that watch the same group and the platform
// that they share.
type recordFleet struct {
	platform *fakePlatform
	vms      []*records
}

func startRecordFleet(t *testing.T, ctx context.Context, n int) *recordFleet {
	t.Helper()
	f := &recordFleet{platform: &fakePlatform{objects: make(map[siskin.ObjectName]siskin.Object)}}
	for i := range n {
		cfg := Config{Self: siskin.VM{ID: siskin.VMID(fmt.Sprint("vm-", i))}, Clock: clockwork.NewRealClock(), Platform: f.platform}
		r := newRecords(cfg, func(siskin.ServiceName) int { return i })
		f.vms = append(f.vms, r)
		go r.run(ctx)
	}
	return f
}

// view returns a view of a group whose primary is numbered like the term.
func view(term siskin.Term) *siskin.GroupView {
	return &siskin.GroupView{Term: term, Primary: siskin.TargetID(fmt.Sprint("ledger/", term)), Targets: make([]siskin.TargetView, 3)}
}

func (f *recordFleet) record(t *testing.T) primaryRecord {
	t.Helper()
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	var r primaryRecord
	if o := f.platform.objects[recordName("ledger")]; o.Version > 0 {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// TestRecordAfterOutage guards against a record that stays outdated after an
// outage of the platform, and against too many calls during the outage.
func TestRecordAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startRecordFleet(t, ctx, 6)
		f.platform.set(func(p *fakePlatform) { p.down = true })
		for _, r := range f.vms {
			r.observe("ledger", view(2))
		}
		time.Sleep(10 * time.Minute)
		perMinute := 0.0
		f.platform.set(func(p *fakePlatform) {
			perMinute = float64(p.calls) / 10
			p.down, p.loseAnswers = false, 1
		})
		begun := time.Now()
		for f.record(t).Term != 2 {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(begun)
		if limit := recordBackoff.Base + recordBackoff.Max; took > limit {
			t.Errorf("record: got it %v after the outage, want at most %v", took, limit)
		}
		if limit := 60 / (recordBackoff.Base / 2).Seconds() * 6; perMinute > limit {
			t.Errorf("calls a minute of 6 VMs during the outage: got %v, want at most %v", perMinute, limit)
		}
		t.Logf("%.1f calls a minute of 6 VMs during the outage, record %v after it", perMinute, took)
		time.Sleep(2 * time.Minute)
		for _, r := range f.vms {
			if got := r.recorded("ledger"); got != 2 {
				t.Errorf("term of the record known to %s: got %d, want 2", r.self.ID, got)
			}
		}
		f.platform.set(func(p *fakePlatform) {
			if p.writes != 1 {
				t.Errorf("updates of the record: got %d, want 1", p.writes)
			}
		})
	})
}

// TestRecordRace guards against a VM that overwrites the record of a later term
// that another VM wrote between its read and its update.
func TestRecordRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := startRecordFleet(t, ctx, 1)
		later := recordStore{platform: f.platform, self: siskin.VM{ID: "vm-9"}}
		f.platform.set(func(p *fakePlatform) {
			p.beforePut = func() {
				if _, err := later.advance(ctx, "ledger", 5, "ledger/5"); err != nil {
					t.Error(err)
				}
			}
		})
		f.vms[0].observe("ledger", view(3))
		time.Sleep(time.Minute)
		if got, want := f.record(t), (primaryRecord{Term: 5, Primary: "ledger/5", RecordedBy: "vm-9"}); got != want {
			t.Errorf("record: got %+v, want %+v", got, want)
		}
		if got := f.vms[0].recorded("ledger"); got != 5 {
			t.Errorf("term known to the VM that lost: got %d, want 5", got)
		}
	})
}

// TestSoakRecords guards against a record that reverts to an earlier term or does
// not reach the latest one, when VMs see changes late, the platform has outages
// and its responses get lost.
func TestSoakRecords(t *testing.T) {
	soak.Each(t, func(t *testing.T, seed uint64) {
		restore := invar.OnViolation(func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) })
		defer restore()
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := startRecordFleet(t, ctx, 6)
			term, last := siskin.Term(1), siskin.Term(0)
			for range 300 {
				switch rng.IntN(6) {
				case 0:
					term++
				case 1:
					f.platform.set(func(p *fakePlatform) { p.down = !p.down })
				case 2:
					f.platform.set(func(p *fakePlatform) { p.loseAnswers = rng.IntN(3) })
				default:
					f.vms[rng.IntN(len(f.vms))].observe("ledger", view(term-siskin.Term(rng.IntN(int(min(term, 2))))))
				}
				time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Second))))
				now := f.record(t).Term
				if now < last {
					t.Fatalf("record: got term %d after %d", now, last)
				}
				last = now
			}
			f.platform.set(func(p *fakePlatform) { p.down, p.loseAnswers = false, 0 })
			f.vms[rng.IntN(len(f.vms))].observe("ledger", view(term))
			time.Sleep(2 * time.Minute)
			if got := f.record(t); got.Term != term {
				t.Errorf("record at the end: got term %d, want %d", got.Term, term)
			}
		})
	})
}
