package elect

import (
	"errors"
	"slices"
	"time"

	"siskintray.example/siskin"
)

var errModelSilent = errors.New("no answer")

const (
	// modelPromotionTicks is the time for which a VM waits for a promoted
	// target to become primary.
	modelPromotionTicks = int(promotionTimeout / modelTick)
	// modelMaxOrders bounds the promotions ordered by one change.
	modelMaxOrders = maxPromotions
)

// modelChange is a change of primary at one VM.
type modelChange struct {
	change                      // times are on the VM's clock; checkedAt is zero before the second check of the claims
	leading   []siskin.TargetID // targets that were primary when queried
	asked     int               // number of targets asked to accept a claim
	notBefore time.Time         // on the VM's clock
	orders    int
	checkTick int // tick of the last check of the claims
	retryTick int // tick of the next order after one without an answer, or zero
	deadline  int // tick until which the VM waits for the target to become primary
}

// modelOrder is a promotion in flight: it reaches the platform, which takes
// time to carry it out.
type modelOrder struct {
	arrives, takesEffect int // ticks
	accepted             bool
	target               siskin.TargetID
	vm                   *modelVM
	change               *modelChange
	checkTick            int // tick of the last check of the claims before it
	token                siskin.FencingToken
}

// modelRelease is the pending release of the claims of a change that has
// promoted a target.
type modelRelease struct {
	change *modelChange
	vm     int
	term   siskin.Term // of the new primary
}

// beginChange queries the targets and chooses the term of a change of primary
// at a VM.
func (m *model) beginChange(vm int) {
	v := m.vms[vm]
	c := &modelChange{change: change{oldPrimary: v.primary, unfenced: !m.fenced, spec: siskin.ServiceSpec{SyncReplicas: 1}}}
	for _, info := range v.roster.Service(modelService) {
		cl := claim{target: info, wasPrimary: info.ID == v.primary}
		t := m.reachable(vm, info.ID)
		if t == nil {
			cl.err = errModelSilent
		} else {
			cl.status = t.status()
			c.primaryTerm, c.maxPauseTerm = max(c.primaryTerm, t.term, t.log.endPos.Term), max(c.maxPauseTerm, t.pauseTerm)
			if t.isPrimary {
				c.leading = append(c.leading, t.id)
			}
		}
		c.claims = append(c.claims, cl)
	}
	if !canSucceed(m.unlisted(v, c), 1) {
		return
	}
	c.claims = nil
	for _, info := range v.roster.Service(modelService) {
		c.claims = append(c.claims, claim{target: info, wasPrimary: info.ID == v.primary})
	}
	m.rng.Shuffle(len(c.claims), func(i, j int) { c.claims[i], c.claims[j] = c.claims[j], c.claims[i] })
	c.term = claimTerm(max(c.primaryTerm, c.maxPauseTerm), siskin.Term(m.rng.Int64N(int64(termJitter))))
	if m.rules.lowTerm {
		c.term = max(c.primaryTerm, c.maxPauseTerm) + 1
	}
	if !m.fenced {
		if c.token = v.reservedToken; !m.rules.staleToken || c.token <= siskin.FencingToken(max(c.primaryTerm, c.maxPauseTerm)) {
			m.lastToken = max(m.lastToken, siskin.FencingToken(max(c.primaryTerm, c.maxPauseTerm))) + 1
			c.token = m.lastToken
		}
		m.lastToken++
		v.reservedToken = m.lastToken
		c.term = siskin.Term(c.token)
	}
	c.ownTerm = v.lastClaimTerm
	v.change = c
}

// unlisted returns the claims of a change, with failed ones for targets that
// discovery has removed.
func (m *model) unlisted(v *modelVM, c *modelChange) []claim {
	if m.rules.listedOnly {
		return c.claims
	}
	return withUnlisted(c.claims, c.oldPrimary == "", v.roster.Size(modelService))
}

// advance executes one step of a VM's change.
func (m *model) advance(vm int) {
	v := m.vms[vm]
	c := v.change
	switch {
	case c == nil:
	case c.promoted:
		v.change, v.lastClaimTerm = nil, c.nextOwnTerm()
	case c.asked < len(c.claims):
		m.claimOne(vm, &c.claims[c.asked])
		if c.asked++; c.asked == len(c.claims) {
			m.chooseCandidate(vm)
		}
	case c.deadline != 0 && m.tick < c.deadline && (c.retryTick == 0 || m.tick < c.retryTick):
	case c.deadline != 0 && (c.retryTick == 0 || c.orders == modelMaxOrders):
		m.endChange(v)
	case m.now(v).Before(c.notBefore):
	case c.checkedAt.IsZero() || c.retryTick != 0 || !c.checkedRecently(m.now(v)) && !m.rules.staleCheck:
		c.retryTick = 0
		m.check(vm)
		// The VM may be suspended, or wait for a fencing token.
		if m.rng.IntN(4) == 0 {
			v.suspended = m.rng.IntN(200)
		}
	default:
		m.order(v)
	}
}

// claimOne claims one target.
func (m *model) claimOne(vm int, cl *claim) {
	v := m.vms[vm]
	c := v.change
	cl.answeredAt = m.now(v)
	t := m.reachable(vm, cl.target.ID)
	if t == nil {
		cl.err = errModelSilent
		return
	}
	led := slices.Contains(c.leading, t.id)
	before := t.status()
	if led && t.isPrimary && c.term > t.term {
		t.isPrimary = false
	}
	if !t.isPrimary && c.term > t.term && c.term > t.pauseTerm {
		t.pauseTerm = c.term
	}
	cl.status = t.status()
	cl.recordResult(before, c.term, c.primaryTerm, c.ownTerm, led, !m.fenced)
	c.contested = c.contested || cl.contested
}

// chooseCandidate checks the quorum of claims and chooses the target to
// promote.
func (m *model) chooseCandidate(vm int) {
	v := m.vms[vm]
	c := v.change
	c.claims = m.unlisted(v, c)
	if !m.rules.countEmptyLogs {
		markEmptyLogs(c.claims, v.known)
	}
	if !hasQuorum(c.claims, c.term, 1) && !m.stepDownSuffices(c, c.claims) {
		m.endChange(v)
		return
	}
	best, ok := bestCandidate(c.claims, c.term, 1)
	if !ok {
		m.endChange(v)
		return
	}
	c.candidate = best
	if !m.rules.noWait {
		c.notBefore = promotionTime(c.claims, c.term, c.contested)
	}
}

// stepDownSuffices reports whether a primary that stepped down counts as a
// quorum.
func (m *model) stepDownSuffices(c *modelChange, claims []claim) bool {
	return m.rules.soleStepDown && slices.ContainsFunc(claims, func(cl claim) bool {
		return (cl.claimedAfterStepDown || cl.claimedByStepDown) && cl.holds(c.term)
	})
}

// check checks the claims of a change again and ends the change if they were
// lost.
func (m *model) check(vm int) {
	v := m.vms[vm]
	c := v.change
	if _, ok := joinedTarget(c.claims, v.roster.Service(modelService)); ok {
		m.endChange(v)
		return
	}
	again := append([]claim(nil), c.claims...)
	for i := range again {
		cl := &again[i]
		if !cl.holds(c.term) {
			continue
		}
		if t := m.reachable(vm, cl.target.ID); t == nil {
			cl.err = errModelSilent
		} else {
			cl.status = t.status()
		}
	}
	if err := c.compare(again); err != nil && !m.rules.noRecheck && !m.stepDownSuffices(c, again) {
		m.endChange(v)
		return
	}
	c.checkedAt, c.checkTick = m.now(v), m.tick
}

// order orders the promotion of the candidate.
func (m *model) order(v *modelVM) {
	c := v.change
	if m.fenced {
		if v.reservedToken == 0 || c.contested && !m.rules.staleToken {
			m.lastToken++
			v.reservedToken = m.lastToken
		}
		c.token, v.reservedToken = v.reservedToken, 0
	}
	o := modelOrder{arrives: m.tick, target: c.candidate.target.ID, vm: v, change: c, checkTick: c.checkTick, token: c.token}
	c.orders++
	c.pending, c.deadline, c.checkedAt = true, m.tick+modelPromotionTicks, time.Time{}
	if m.fenced && m.rng.IntN(8) == 0 { // its answer is lost, and it may arrive late
		o.arrives += m.rng.IntN(300)
		c.retryTick = m.tick + 5
	}
	// A late order is accepted when it arrives and takes effect at once.
	if o.takesEffect = o.arrives; o.arrives == m.tick {
		o.takesEffect += m.rng.IntN(modelMaxEffectTicks >> (m.rng.IntN(2) * 3))
	}
	m.orders = append(m.orders, o)
}

// endChange gives up a change. It resumes the replicas unless a promotion may
// be in flight.
func (m *model) endChange(v *modelVM) {
	c := v.change
	v.change, v.lastClaimTerm = nil, c.nextOwnTerm()
	if c.pending || c.contested && !m.rules.unpauseContested {
		return
	}
	for _, t := range m.targets {
		if t.pauseTerm == c.term {
			t.pauseTerm = 0
		}
	}
}

// runOrders executes the orders at the platform.
func (m *model) runOrders() {
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

// accept reports whether the platform accepts an order. The VM gives up its
// change if the order is refused.
func (m *model) accept(o modelOrder) bool {
	t := m.lookup(o.target)
	refused := t == nil || m.fenced && o.token < m.maxUsedToken
	if !m.fenced && o.token < m.maxUsedToken {
		m.fault("tick %d: fence %d after %d", m.tick, o.token, m.maxUsedToken)
	}
	m.maxUsedToken = max(m.maxUsedToken, o.token)
	if refused && o.vm.change == o.change && o.change.retryTick == 0 {
		o.change.deadline = m.tick
		o.change.pending = o.change.orders > 1
	}
	return !refused
}

func (m *model) promote(o modelOrder) {
	t := m.lookup(o.target)
	if t == nil || t.isPrimary || m.restartEndsOrder && t.restarted >= o.checkTick {
		return // not running, or already the primary
	}
	if id, ok := t.log.lacks(&m.acked); ok {
		m.fault("tick %d: the promotion of %s loses commit %d", m.tick, t.id, id)
	}
	for _, other := range m.targets {
		other.crashedAsPrimary = false
		if m.fenced {
			other.isPrimary = false
		}
	}
	m.term++
	t.term, t.pauseTerm, t.isPrimary, t.connectedTicks = m.term, 0, true, 0
	o.vm.primary = t.id
	o.change.promoted, o.change.pending = true, false
	for i, v := range m.vms {
		if v == o.vm {
			m.releases = append(m.releases, modelRelease{o.change, i, t.term})
		}
	}
	m.unpauseReplicas()
}

// unpauseReplicas releases the claims of replicas that follow the new primary,
// and of all replicas once no former primary is running.
func (m *model) unpauseReplicas() {
	releases := m.releases
	if m.fenced {
		m.releases = nil // one step releases all claims
	}
	for _, f := range releases {
		p := m.lookup(f.change.candidate.target.ID)
		former := false
		for slot, t := range m.targets {
			if t.isPrimary && t.term < f.term {
				// The VM makes the former primary step down when it reaches it.
				if v := m.vms[f.vm]; m.reachable(f.vm, t.id) != nil && v.suspended == 0 && m.rng.IntN(modelMeanDemoteTicks) == 0 {
					t.isPrimary = false
				}
				former = former || t.isPrimary && m.targets[slot] == t
			}
		}
		for slot, t := range m.targets {
			follows := p != nil && p.isPrimary && p.term == f.term && !m.cut[m.index(p)][slot]
			if t.pauseTerm == f.change.term && (follows || !former || m.fenced || m.rules.unpauseAtOnce) {
				t.pauseTerm = 0
			}
		}
		if p != nil && p.isPrimary {
			m.replicate(m.index(p))
		}
	}
}
