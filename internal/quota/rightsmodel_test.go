package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
)

const (
	modelVMs   = 4
	modelSpare = 2 // VMs without a slot at the start
	modelStep  = 500 * time.Millisecond
	modelSteps = 4000
	modelRuns  = 60
)

// rightsRules disables single rules, to show that the model needs each of them.
type rightsRules struct {
	trustPeers bool // a peer's knowledge counts as a read of the store
	noWait     bool // a slot is spent as soon as the record names its holder
	noEnd      bool // a right does not end without knowledge of the record
}

// rightsModel is a fleet whose VMs read, pass on and write the record of slots.
type rightsModel struct {
	rng   *rand.Rand
	clock *clockwork.FakeClock
	rules rightsRules
	store Rights
	vms   [modelVMs + modelSpare]*rightsVM
	// late are writes that the store may carry out later, with the version that
	// they replace.
	late []Rights
}

type rightsVM struct {
	id siskin.VMID
	l  *Limiter
	// side is the side of a cut: VMs reach those of their own side, and the first
	// side reaches the store.
	side          int
	down, leaving bool
	givenAt       time.Time // when it knew that its slot was given away
	heard         [modelVMs + modelSpare]time.Time
	// spent are the last shares, of which loans may still be in use.
	spent [LoanDuration / modelStep]float64
}

func newRightsModel(seed uint64, rules rightsRules) *rightsModel {
	m := &rightsModel{rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClock(), rules: rules, store: Rights{Version: 1, Era: siskin.FirstEra}}
	for i := range m.vms {
		m.vms[i] = &rightsVM{id: siskin.VMID(fmt.Sprint("vm-", i))}
		if m.start(m.vms[i]); i < modelVMs {
			m.store.Slots = append(m.store.Slots, Slot{Holder: m.vms[i].id, Bounded: true})
		}
	}
	return m
}

func (m *rightsModel) start(v *rightsVM) {
	v.l, v.down, v.leaving, v.givenAt = newMember(m.clock, v.id), false, false, time.Time{}
	v.heard = [len(v.heard)]time.Time{}
}

func (m *rightsModel) set(v *rightsVM, r Rights, read time.Time) {
	if m.rules.noWait {
		for i := range r.Slots {
			r.Slots[i].From = nil
		}
	}
	v.l.SetRights(r, read)
}

// ping passes what one VM knows on to another one.
func (m *rightsModel) ping(to, from int) {
	a, b, now := m.vms[to], m.vms[from], m.clock.Now()
	if a.side != b.side || a.down || b.down {
		return
	}
	a.heard[from] = now
	r, read := b.l.Rights()
	if m.rules.trustPeers {
		read = now
	}
	if own, _ := a.l.Rights(); r.Version > own.Version {
		m.set(a, r.Clone(), read)
	} else {
		a.l.ConfirmRights(r.Version, read)
	}
	a.l.RecordAware(b.id, r.Version, now)
	version, _ := a.l.RightsVersion()
	for i := range m.vms {
		other, _ := m.vms[i].l.RightsVersion()
		if i != to && (now.Sub(a.heard[i]) > modelStep || other > version) {
			return
		}
	}
	a.l.RecordContact(version, now)
}

// write replaces the record, now or later, and reports whether the VM got the
// answer.
func (m *rightsModel) write(v *rightsVM, list []Slot) bool {
	known, _ := v.l.Rights()
	next := Rights{Version: known.Version, Era: siskin.FirstEra, Slots: list}
	if m.rng.IntN(4) == 0 {
		m.late = append(m.late, next)
		return false
	}
	return m.carryOut(next) && m.rng.IntN(4) > 0
}

func (m *rightsModel) carryOut(next Rights) bool {
	if next.Version != m.store.Version {
		return false
	}
	next.Version++
	m.store = next.Clone()
	return true
}

// give gives the slots of a VM to a VM without any.
func (m *rightsModel) give(by *rightsVM, of siskin.VMID) bool {
	known, _ := by.l.Rights()
	next := known.Clone()
	changed := false
	for i := range next.Slots {
		for _, to := range m.vms {
			if s := &next.Slots[i]; s.Holder == of && next.Count(to.id) == 0 && to.id != of {
				*s = Slot{Holder: to.id, From: append([]siskin.VMID(nil), append(s.From, of)...), Bounded: true}
				changed = true
			}
		}
	}
	if changed && by.id == of {
		by.l.GiveUp()
	}
	return changed && m.write(by, next.Slots)
}

// complete tells that a VM has stopped to spend the slots that it gave away.
func (m *rightsModel) complete(v *rightsVM) {
	next := m.store.Clone()
	for i := range next.Slots {
		if s := &next.Slots[i]; len(s.From) == 1 && s.From[0] == v.id {
			s.From = nil
		}
	}
	m.carryOut(next)
	v.givenAt = time.Time{}
}

func (m *rightsModel) step() {
	m.clock.Advance(modelStep)
	now := m.clock.Now()
	if len(m.late) > 0 && m.rng.IntN(20) == 0 {
		m.carryOut(m.late[0])
		m.late = m.late[1:]
	}
	for i, v := range m.vms {
		if v.down {
			if m.rng.IntN(10) == 0 {
				m.start(v)
			}
			continue
		}
		for j := range m.vms {
			if i != j && m.rng.IntN(10) > 0 {
				m.ping(i, j)
			}
		}
		_, read := v.l.RightsVersion()
		switch n := m.rng.IntN(400); {
		case v.side == 0 && (v.l.NeedsRead() || now.Sub(read) > RightsDuration/4):
			m.set(v, m.store.Clone(), now)
		case n == 0:
			v.side = 1 + m.rng.IntN(4)/3 // most of them on the same side
		case v.side > 0 && m.rng.IntN(800) == 0:
			v.side = 0
		case n == 4:
			v.down = true // killed
		case n == 5:
			v.leaving = true
			if v.side == 0 && m.give(v, v.id) {
				v.givenAt = now
			}
		case v.side == 0 && !v.givenAt.IsZero() && now.Sub(v.givenAt) >= LoanDuration:
			m.complete(v)
		case n < 8 && v.leaving:
			v.down = true
		case n == 8 && v.side == 0:
			m.give(v, m.vms[m.rng.IntN(len(m.vms))].id) // whether it is gone or not
		}
	}
}

// check returns a fault if the VMs spend more than all rates.
func (m *rightsModel) check(step int) string {
	total := 0.0
	for _, v := range m.vms {
		share := v.l.Share()
		if v.down {
			share = 0
		}
		if m.rules.noEnd && !v.down {
			r, _ := v.l.Rights()
			share = max(share, float64(r.Count(v.id))/float64(max(1, len(r.Slots))))
		}
		v.spent[step%len(v.spent)] = share
		highest := 0.0
		for _, s := range v.spent {
			highest = max(highest, s)
		}
		total += highest
	}
	if total > 1+1e-9 {
		return fmt.Sprintf("step %d: the VMs spend %v of the rates", step, total)
	}
	return ""
}

// TestSlotsNeverOverlap guards against shares that add up to more than the rates,
// whatever is cut, killed, stopped, restarted or written late, and against a model
// that cannot show that.
func TestSlotsNeverOverlap(t *testing.T) {
	for _, c := range []struct {
		name  string
		rules rightsRules
		want  bool // a fault
	}{
		{"all rules", rightsRules{}, false},
		{"a peer's knowledge counts as a read", rightsRules{trustPeers: true}, true},
		{"no wait for the former holder", rightsRules{noWait: true}, true},
		{"rights without an end", rightsRules{noEnd: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := uint64(soak.Seed(1))
			fault, seed := "", first
			spent := 0.0
			for ; seed < first+modelRuns && fault == ""; seed++ {
				m := newRightsModel(seed, c.rules)
				for step := 0; step < modelSteps && fault == ""; step++ {
					m.step()
					fault = m.check(step)
					for _, v := range m.vms {
						spent += v.spent[step%len(v.spent)]
					}
				}
			}
			if got := fault != ""; got != c.want {
				t.Errorf("a fault in runs %d to %d: got %v (%s), want %v", first, seed-1, got, fault, c.want)
			}
			t.Logf("run %d: %s; used %.2f of the rates", seed-1, fault, spent/float64(modelSteps)/float64(seed-first))
		})
	}
}

// TestSlotComesBack guards against a VM that was cut off while another one held
// its slot, and that spends it again beside that one.
func TestSlotComesBack(t *testing.T) {
	m := newRightsModel(1, rightsRules{})
	a, b := m.vms[0], m.vms[modelVMs]
	step := 0
	play := func(d time.Duration) {
		for range d / modelStep {
			m.clock.Advance(modelStep)
			for i, v := range m.vms {
				if v.side == 0 {
					m.set(v, m.store.Clone(), m.clock.Now())
				}
				for j := range m.vms {
					m.ping(i, j)
				}
			}
			if fault := m.check(step); fault != "" {
				t.Fatal(fault)
			}
			step++
		}
	}
	hand := func(to *rightsVM, from ...siskin.VMID) {
		next := m.store.Clone()
		next.Slots[0] = Slot{Holder: to.id, From: from, Bounded: true}
		m.carryOut(next)
	}
	play(time.Minute)
	a.side = 1
	hand(b, a.id)
	play(TakeoverDelay + 2*LoanDuration)
	if got, want := b.l.Share(), 1.0/modelVMs; got != want {
		t.Fatalf("share of the next holder: got %v, want %v", got, want)
	}
	a.side, b.side = 0, 1
	hand(a, a.id, b.id)
	play(TakeoverDelay + 2*LoanDuration)
	if got, want := a.l.Share(), 1.0/modelVMs; got != want {
		t.Errorf("share of the first holder in the end: got %v, want %v", got, want)
	}
}
