package elect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/soak"
)

// The group model plays targets that join and leave while the store is down and
// VMs are cut off. It checks at each moment that no VM would promote a target
// without the commits that any VM has passed on. It uses the rules of this package,
// of lease and of roster.

const (
	groupTick     = 100 * time.Millisecond
	groupTicks    = 600
	groupRuns     = 1000
	groupListAge  = 1500 * time.Millisecond // between two reads of the list
	groupEntry    = 1200 * time.Millisecond // between two writes of an entry
	groupContact  = 1500 * time.Millisecond
	groupSettle   = 19 * time.Second
	groupDrain    = 7 * time.Second
	groupTerm     = siskin.Term(10) // of the claims
	groupReplicas = 2
)

// groupRules disables single rules, to show that the model needs each of them.
type groupRules struct {
	anyReceipt  bool // a commit counts as received whoever has it
	anyAge      bool // a list is current whatever its age
	anyJoiner   bool // a replica is settled as soon as it is listed
	youngCovers bool // departures are covered as soon as their commits are received
	changeByAny bool // a change is ordered with a list of any age
}

// groupTarget is a target. The first one is the primary.
type groupTarget struct {
	info    siskin.TargetInfo
	log     siskin.LSN
	blocked bool      // it receives nothing
	ends    time.Time // zero while it does not drain
	entryAt time.Time // next write of its entry
}

type groupVM struct {
	roster *roster.Roster
	cut    bool // from the store and the other VMs
	heard  [3]time.Time
}

type groupModel struct {
	rng       *rand.Rand
	rules     groupRules
	now       time.Time
	targets   []*groupTarget
	nextID    int
	listed    map[siskin.TargetID]siskin.TargetInfo
	version   siskin.Version
	storeDown bool
	vms       [3]*groupVM
	passedOn  siskin.LSN
}

func newGroupModel(seed uint64, rules groupRules) *groupModel {
	m := &groupModel{rng: rand.New(rand.NewPCG(seed, 2)), rules: rules, now: time.Unix(1000, 0), listed: make(map[siskin.TargetID]siskin.TargetInfo)}
	for range groupReplicas + 1 {
		m.join()
	}
	for i := range m.vms {
		m.vms[i] = &groupVM{roster: roster.New()}
	}
	m.writeEntries()
	for _, v := range m.vms {
		m.read(v)
	}
	m.now = m.now.Add(groupSettle) // the first targets have run for long
	return m
}

func (m *groupModel) join() {
	m.nextID++
	t := &groupTarget{info: siskin.TargetInfo{ID: siskin.TargetID(fmt.Sprint("t", m.nextID)), Service: modelService}}
	t.entryAt = m.now.Add(time.Duration(m.rng.Int64N(int64(groupEntry))))
	if m.nextID <= groupReplicas+1 {
		t.entryAt = m.now
	}
	if len(m.targets) > 0 {
		t.log = m.targets[0].log
	}
	m.targets = append(m.targets, t)
}

// writeEntries makes the targets write their entries, and removes those of targets
// that have ended.
func (m *groupModel) writeEntries() {
	if m.storeDown {
		return
	}
	for _, t := range m.targets {
		if m.now.Before(t.entryAt) {
			continue
		}
		t.entryAt = m.now.Add(groupEntry)
		if m.listed[t.info.ID] != t.info {
			m.listed[t.info.ID] = t.info
			m.version++
		}
	}
	for id := range m.listed {
		if !slices.ContainsFunc(m.targets, func(t *groupTarget) bool { return t.info.ID == id }) {
			delete(m.listed, id)
			m.version++
		}
	}
}

// read reads the list from the store.
func (m *groupModel) read(v *groupVM) {
	var list []siskin.TargetInfo
	for _, info := range m.listed {
		list = append(list, info)
	}
	if version, _ := v.roster.Version(); version == m.version {
		v.roster.Confirm(version, m.now)
		return
	}
	v.roster.Replace(list, m.version, m.now)
}

// ping passes the list and the covered departures of one VM on to another.
func (m *groupModel) ping(to, from int) {
	a, b := m.vms[to], m.vms[from]
	if a.cut || b.cut {
		return
	}
	list, version, at := b.roster.Listed()
	if own, _ := a.roster.Version(); own == version {
		a.roster.Confirm(version, at)
	} else {
		a.roster.Replace(list, version, at)
	}
	a.roster.LearnCovered(b.roster.Covered(), func(siskin.ServiceName) int { return 1 }, m.coverTime())
	a.heard[from] = m.now
}

// coverTime returns the time at which departures are covered.
func (m *groupModel) coverTime() time.Time {
	if m.rules.youngCovers {
		return m.now.Add(time.Hour)
	}
	return m.now
}

func (m *groupModel) listState(vm int) siskin.ListState {
	v := m.vms[vm]
	if m.rules.anyAge {
		return siskin.ListCurrent
	}
	state := v.roster.ListState(m.now)
	version, _ := v.roster.Version()
	for i, other := range m.vms {
		if theirs, _ := other.roster.Version(); i != vm && (m.now.Sub(v.heard[i]) > groupContact || theirs > version && !other.cut) {
			return state
		}
	}
	return siskin.ListCurrent
}

// commit makes a VM commit at the primary, and passes the commit on if enough
// replicas have received it.
func (m *groupModel) commit(vm int) {
	p, v := m.targets[0], m.vms[vm]
	p.log++
	acknowledged := false
	for _, t := range m.targets[1:] {
		if !t.blocked {
			t.log, acknowledged = p.log, true
		}
	}
	state := m.listState(vm)
	if !acknowledged || state == siskin.ListExpired {
		return
	}
	replicas := slices.DeleteFunc(slices.Clone(v.roster.Service(modelService)), func(t siskin.TargetInfo) bool { return t.ID == p.info.ID })
	stay := slices.ContainsFunc(replicas, func(t siskin.TargetInfo) bool { return !t.Draining })
	result := lease.Receipts{Needed: 1, Replicas: len(replicas)}
	if state == siskin.ListOutdated {
		result.Replicas = max(result.Replicas, v.roster.Size(modelService)-1)
	}
	for _, info := range replicas {
		since, _, first, _ := v.roster.ListedSince(info.ID)
		settled := (first || m.rules.anyJoiner || m.now.Sub(since) >= groupSettle) && !(info.Draining && stay)
		if t := m.find(info.ID); t != nil {
			result.Add(siskin.Position{Term: 1, LSN: t.log}, settled && state == siskin.ListCurrent)
		} else if info.Draining && stay {
			result.Replicas-- // it refuses connections
		}
	}
	if m.rules.anyReceipt || result.Received().LSN >= p.log {
		m.passedOn = p.log
	}
	if stay && result.Received().LSN >= p.log {
		v.roster.CoverDepartures(modelService, p.info.ID, 1, m.coverTime())
	}
}

func (m *groupModel) find(id siskin.TargetID) *groupTarget {
	for _, t := range m.targets {
		if t.info.ID == id {
			return t
		}
	}
	return nil
}

// wouldPromote returns the target that a VM would promote if the primary crashed
// now.
func (m *groupModel) wouldPromote(vm int) (claim, bool) {
	if !m.rules.changeByAny && m.listState(vm) != siskin.ListCurrent {
		return claim{}, false
	}
	v, primary := m.vms[vm], m.targets[0].info.ID
	var claims []claim
	for _, info := range v.roster.Service(modelService) {
		cl := claim{target: info, wasPrimary: info.ID == primary, err: errModelSilent}
		cl.covered = !cl.wasPrimary && info.Draining && v.roster.IsCovered(info.ID)
		if t := m.find(info.ID); t != nil && !cl.wasPrimary {
			cl.err, cl.status = nil, siskin.ControlStatus{Term: 1, PauseTerm: groupTerm, Received: siskin.Position{Term: 1, LSN: t.log}}
		}
		claims = append(claims, cl)
	}
	claims = withUnlisted(claims, false, v.roster.Size(modelService))
	markEmptyLogs(claims, siskin.Position{})
	if !hasQuorum(claims, groupTerm, 1) {
		return claim{}, false
	}
	return bestCandidate(claims, groupTerm, 1)
}

func (m *groupModel) step() {
	m.now = m.now.Add(groupTick)
	m.targets = slices.DeleteFunc(m.targets, func(t *groupTarget) bool { return !t.ends.IsZero() && m.now.After(t.ends) })
	m.writeEntries()
	for i, v := range m.vms {
		if _, at := v.roster.Version(); !v.cut && !m.storeDown && m.now.Sub(at) >= groupListAge {
			m.read(v)
		}
		for j := range m.vms {
			if i != j && m.rng.IntN(3) == 0 {
				m.ping(i, j)
			}
		}
	}
	if m.rng.IntN(2) == 0 {
		m.commit(m.rng.IntN(len(m.vms)))
	}
	m.disrupt()
}

func (m *groupModel) disrupt() {
	replica := m.targets[1+m.rng.IntN(len(m.targets)-1)]
	draining := 0
	for _, t := range m.targets {
		if t.info.Draining {
			draining++
		}
	}
	switch m.rng.IntN(300) {
	case 0, 1, 2:
		m.join()
	case 3, 4, 5, 6:
		if !replica.info.Draining && len(m.targets)-draining > groupReplicas+1 {
			replica.info.Draining, replica.entryAt = true, m.now
			replica.ends = m.now.Add(groupDrain + time.Duration(m.rng.Int64N(int64(groupDrain))))
		}
	case 7, 8, 9, 10, 11, 12:
		replica.blocked = true
	case 13, 14, 15:
		replica.blocked = false
	case 16, 17:
		m.storeDown = true
	case 18, 19, 20, 21:
		m.storeDown = false
	case 22, 23, 24:
		m.vms[m.rng.IntN(len(m.vms))].cut = true
	case 25, 26:
		m.vms[m.rng.IntN(len(m.vms))].cut = false
	case 27, 28, 29, 30, 31:
		for _, t := range m.targets[1:] {
			t.blocked = !t.info.Draining
		}
	case 32, 33, 34, 35, 36:
		for _, t := range m.targets {
			t.blocked = false
		}
	}
	// A target's drain counts from the store's answer.
	for _, t := range m.targets {
		if t.info.Draining && !m.listed[t.info.ID].Draining {
			t.ends = later(t.ends, m.now.Add(groupDrain))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// run returns the first fault of a run, or an empty string.
func (m *groupModel) run() string {
	for range groupTicks {
		m.step()
		for vm := range m.vms {
			if best, ok := m.wouldPromote(vm); ok && best.status.Received.LSN < m.passedOn {
				return fmt.Sprintf("at %v VM %d would promote %s with %v of %d", m.now.Sub(time.Unix(1000, 0)), vm, best.target.ID, best.status.Received.LSN, m.passedOn)
			}
		}
	}
	return ""
}

// TestGroupModelSeeds repeats runs that found faults.
func TestGroupModelSeeds(t *testing.T) {
	for _, c := range []struct {
		name string
		seed uint64
	}{
		{"all replicas that stay have just joined, and the others drain", 40266},
		{"a replica drains and leaves during an outage of the store", 50199},
	} {
		if fault := newGroupModel(c.seed, groupRules{}).run(); fault != "" {
			t.Errorf("%s, run %d: got %s, want no fault", c.name, c.seed, fault)
		}
	}
}

// TestGroupModel guards against commits that are passed on by other targets than a
// change of primary counts: unlisted ones that have joined, or ones that leave and
// that a VM with an old list does not know to leave.
func TestGroupModel(t *testing.T) {
	first := uint64(soak.Seed(1))
	for _, c := range []struct {
		name  string
		rules groupRules
		want  bool // a fault
	}{
		{"all rules", groupRules{}, false},
		{"whoever has received a commit", groupRules{anyReceipt: true}, true},
		{"lists of any age", groupRules{anyAge: true}, true},
		{"replicas that have just joined", groupRules{anyJoiner: true}, true},
		{"departures are covered at once", groupRules{youngCovers: true}, true},
		{"changes with a list of any age", groupRules{changeByAny: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed, fault, passedOn := first, "", siskin.LSN(0)
			for ; seed < first+groupRuns && fault == ""; seed++ {
				m := newGroupModel(seed, c.rules)
				fault = m.run()
				passedOn += m.passedOn
			}
			if got := fault != ""; got != c.want {
				t.Errorf("a fault in runs %d to %d: got %v (%s), want %v", first, seed-1, got, fault, c.want)
			}
			t.Logf("run %d: %s; %d commits a run", seed-1, fault, int(passedOn)/int(seed-first))
		})
	}
}
