package elect

import (
	"errors"
	"slices"
	"time"

	"siskintray.example/siskin"
)

var errModelSilent = errors.New("no answer")

const (
	// modelLeadTicks is the time for which a VM waits for a promoted target to lead.
	modelLeadTicks = int(leadTimeout / modelTick)
	// modelOrders bounds the orders of one change.
	modelOrders = maxPromotions
)

// modelChange is a change of primary at one VM.
type modelChange struct {
	change                     // its times are on the VM's clock; checked is zero before the claims were read again
	leading  []siskin.TargetID // targets that led when they were asked
	claimed  int               // claims taken
	until    time.Time         // on the VM's clock
	orders   int
	looked   int // tick of the last look at the claims
	again    int // tick of the next order after one without an answer, zero for none
	deadline int // tick at which the VM gives up to wait for the lead
}

// modelOrder is a promotion on its way: it reaches the platform, which takes time
// to carry it out.
type modelOrder struct {
	arrives, takesEffect int // ticks
	accepted             bool
	target               siskin.TargetID
	vm                   *modelVM
	change               *modelChange
	looked               int // tick of the last look at the claims before it
	fence                siskin.FencingToken
}

// modelFreeing is the end of the claims of a change that has promoted a target.
type modelFreeing struct {
	change *modelChange
	vm     int
	term   siskin.Term // of the new primary
}

// begin asks the targets and chooses the term of a change of primary at a VM.
func (m *model) begin(vm int) {
	v := m.vms[vm]
	c := &modelChange{change: change{old: v.primary, unfenced: !m.fenced, spec: siskin.ServiceSpec{SyncReplicas: 1}}}
	for _, info := range v.roster.Service(modelService) {
		cl := claim{target: info, primary: info.ID == v.primary}
		t := m.reach(vm, info.ID)
		if t == nil {
			cl.err = errModelSilent
		} else {
			cl.status = t.status()
			c.leadTerm, c.heldTerm = max(c.leadTerm, t.term, t.log.last.Term), max(c.heldTerm, t.held)
			if t.leads {
				c.leading = append(c.leading, t.id)
			}
		}
		c.claims = append(c.claims, cl)
	}
	if !prospect(m.unlisted(v, c), 1) {
		return
	}
	c.claims = nil
	for _, info := range v.roster.Service(modelService) {
		c.claims = append(c.claims, claim{target: info, primary: info.ID == v.primary})
	}
	m.rng.Shuffle(len(c.claims), func(i, j int) { c.claims[i], c.claims[j] = c.claims[j], c.claims[i] })
	c.term = claimTerm(max(c.leadTerm, c.heldTerm), siskin.Term(m.rng.Int64N(int64(termSpread))))
	if m.rules.lowTerm {
		c.term = max(c.leadTerm, c.heldTerm) + 1
	}
	if !m.fenced {
		if c.fence = v.reserve; !m.rules.staleFence || c.fence <= siskin.FencingToken(max(c.leadTerm, c.heldTerm)) {
			m.fence = max(m.fence, siskin.FencingToken(max(c.leadTerm, c.heldTerm))) + 1
			c.fence = m.fence
		}
		m.fence++
		v.reserve = m.fence
		c.term = siskin.Term(c.fence)
	}
	c.own = v.claimed
	v.change = c
}

// unlisted returns the claims of a change with those of targets that discovery has
// dropped.
func (m *model) unlisted(v *modelVM, c *modelChange) []claim {
	if m.rules.listedOnly {
		return c.claims
	}
	return withUnlisted(c.claims, c.old == "", v.roster.Size(modelService))
}

// proceed takes one step of the change of a VM.
func (m *model) proceed(vm int) {
	v := m.vms[vm]
	c := v.change
	switch {
	case c == nil:
	case c.led:
		v.change, v.claimed = nil, c.ownNext()
	case c.claimed < len(c.claims):
		m.claimOne(vm, &c.claims[c.claimed])
		if c.claimed++; c.claimed == len(c.claims) {
			m.choose(vm)
		}
	case c.deadline != 0 && m.tick < c.deadline && (c.again == 0 || m.tick < c.again):
	case c.deadline != 0 && (c.again == 0 || c.orders == modelOrders):
		m.end(v)
	case m.now(v).Before(c.until):
	case c.checked.IsZero() || c.again != 0 || !c.fresh(m.now(v)) && !m.rules.staleLook:
		c.again = 0
		m.check(vm)
		// The VM may stand still, or wait for a fence.
		if m.rng.IntN(4) == 0 {
			v.frozen = m.rng.IntN(200)
		}
	default:
		m.order(v)
	}
}

// claimOne claims one target.
func (m *model) claimOne(vm int, cl *claim) {
	v := m.vms[vm]
	c := v.change
	cl.at = m.now(v)
	t := m.reach(vm, cl.target.ID)
	if t == nil {
		cl.err = errModelSilent
		return
	}
	led := slices.Contains(c.leading, t.id)
	before := t.status()
	if led && t.leads && c.term > t.term {
		t.leads = false
	}
	if !t.leads && c.term > t.term && c.term > t.held {
		t.held = c.term
	}
	cl.status = t.status()
	cl.claimedBy(before, c.term, c.leadTerm, c.own, led, !m.fenced)
	c.overtook = c.overtook || cl.overtook
}

// choose counts the claims and chooses the target to promote.
func (m *model) choose(vm int) {
	v := m.vms[vm]
	c := v.change
	c.claims = m.unlisted(v, c)
	if !m.rules.countBlank {
		markBlank(c.claims, v.known)
	}
	if !enough(c.claims, c.term, 1) && !m.alone(c, c.claims) {
		m.end(v)
		return
	}
	best, ok := newest(c.claims, c.term, 1)
	if !ok {
		m.end(v)
		return
	}
	c.chosen = best
	if !m.rules.noWait {
		c.until = waitUntil(c.claims, c.term, c.overtook)
	}
}

// alone reports whether a primary that stepped down counts as a claim of all.
func (m *model) alone(c *modelChange, claims []claim) bool {
	return m.rules.soleStepDown && slices.ContainsFunc(claims, func(cl claim) bool {
		return (cl.demoted || cl.steppedDown) && cl.holds(c.term)
	})
}

// check reads the claims of a change again and ends it when they are gone.
func (m *model) check(vm int) {
	v := m.vms[vm]
	c := v.change
	if _, ok := newcomer(c.claims, v.roster.Service(modelService)); ok {
		m.end(v)
		return
	}
	again := append([]claim(nil), c.claims...)
	for i := range again {
		cl := &again[i]
		if !cl.holds(c.term) {
			continue
		}
		if t := m.reach(vm, cl.target.ID); t == nil {
			cl.err = errModelSilent
		} else {
			cl.status = t.status()
		}
	}
	if err := c.compare(again); err != nil && !m.rules.noSecondLook && !m.alone(c, again) {
		m.end(v)
		return
	}
	c.checked, c.looked = m.now(v), m.tick
}

// order sends the promotion of the chosen target.
func (m *model) order(v *modelVM) {
	c := v.change
	if m.fenced {
		if v.reserve == 0 || c.overtook && !m.rules.staleFence {
			m.fence++
			v.reserve = m.fence
		}
		c.fence, v.reserve = v.reserve, 0
	}
	o := modelOrder{arrives: m.tick, target: c.chosen.target.ID, vm: v, change: c, looked: c.looked, fence: c.fence}
	c.orders++
	c.pending, c.deadline, c.checked = true, m.tick+modelLeadTicks, time.Time{}
	if m.fenced && m.rng.IntN(8) == 0 { // its answer is lost, and it may come late
		o.arrives += m.rng.IntN(300)
		c.again = m.tick + 5
	}
	// A late order counts from the moment at which it is carried out.
	if o.takesEffect = o.arrives; o.arrives == m.tick {
		o.takesEffect += m.rng.IntN(modelEffectTicks >> (m.rng.IntN(2) * 3))
	}
	m.orders = append(m.orders, o)
}

// end gives a change up. It lets the replicas go unless an order may be on its way.
func (m *model) end(v *modelVM) {
	c := v.change
	v.change, v.claimed = nil, c.ownNext()
	if c.pending || c.overtook && !m.rules.freeOvertaken {
		return
	}
	for _, t := range m.targets {
		if t.held == c.term {
			t.held = 0
		}
	}
}

// carryOut plays the orders at the platform.
func (m *model) carryOut() {
	kept := m.orders[:0]
	for _, o := range m.orders {
		if !o.accepted && o.arrives <= m.tick {
			if o.accepted = m.accept(o); !o.accepted {
				continue
			}
		}
		if o.accepted && o.takesEffect <= m.tick {
			m.promote(o)
			continue
		}
		kept = append(kept, o)
	}
	m.orders = kept
}

// accept reports whether the platform takes an order. The VM that sent one that is
// refused gives its change up.
func (m *model) accept(o modelOrder) bool {
	t := m.lookup(o.target)
	refused := t == nil || m.fenced && o.fence < m.used
	if !m.fenced && o.fence < m.used {
		m.fault("tick %d: fence %d after %d", m.tick, o.fence, m.used)
	}
	m.used = max(m.used, o.fence)
	if refused && o.vm.change == o.change && o.change.again == 0 {
		o.change.deadline = m.tick
		o.change.pending = o.change.orders > 1
	}
	return !refused
}

func (m *model) promote(o modelOrder) {
	t := m.lookup(o.target)
	if t == nil || t.leads || m.voids && t.born >= o.looked {
		return // not there, or the primary already
	}
	if id, ok := t.log.lacks(&m.acked); ok {
		m.fault("tick %d: the promotion of %s loses commit %d", m.tick, t.id, id)
	}
	for _, other := range m.targets {
		other.crashed = false
		if m.fenced {
			other.leads = false
		}
	}
	m.term++
	t.term, t.held, t.leads, t.met = m.term, 0, true, 0
	o.vm.primary = t.id
	o.change.led, o.change.pending = true, false
	for i, v := range m.vms {
		if v == o.vm {
			m.freeing = append(m.freeing, modelFreeing{o.change, i, t.term})
		}
	}
	m.free()
}

// free ends claims of replicas that follow the new primary at once, and of all
// once no former primary leads.
func (m *model) free() {
	freeing := m.freeing
	if m.fenced {
		m.freeing = nil // one step ends all
	}
	for _, f := range freeing {
		p := m.lookup(f.change.chosen.target.ID)
		former := false
		for slot, t := range m.targets {
			if t.leads && t.term < f.term {
				// The VM makes it step down when it reaches it.
				if v := m.vms[f.vm]; m.reach(f.vm, t.id) != nil && v.frozen == 0 && m.rng.IntN(modelRetireTicks) == 0 {
					t.leads = false
				}
				former = former || t.leads && m.targets[slot] == t
			}
		}
		for slot, t := range m.targets {
			follows := p != nil && p.leads && p.term == f.term && !m.cut[m.slot(p)][slot]
			if t.held == f.change.term && (follows || !former || m.fenced || m.rules.freeAtOnce) {
				t.held = 0
			}
		}
		if p != nil && p.leads {
			m.replicate(m.slot(p))
		}
	}
}
