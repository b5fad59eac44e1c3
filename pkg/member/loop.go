package member

import (
	"time"

	"siskintray.example/siskin"
)

// run is the loop that asks the core for decisions and starts the calls.
func (m *Members) run() {
	superseded := false
	due := m.clock.Now()
	for {
		now := m.clock.Now()
		if now.Sub(due) > overloadThreshold {
			m.suspendJudgement(now)
		}
		if gap := m.gap(now); gap >= maxIterationInterval+m.cfg.PauseThreshold {
			m.resume(now, gap)
			now = m.clock.Now()
		}
		m.lastIteration.Store(now.UnixNano())
		m.mu.Lock()
		p := m.core.step(now)
		newlySuperseded := m.core.superseded && !superseded
		superseded = m.core.superseded
		m.publish()
		m.mu.Unlock()
		if newlySuperseded {
			m.runEnded.Store(true)
			m.onSuperseded()
		}
		m.startCalls(p)
		due = now.Add(max(minIterationInterval, min(p.next.Sub(now), maxIterationInterval)))
		select {
		case <-m.clock.After(due.Sub(now)):
		case <-m.wake:
			woken := m.clock.Now()
			wait := max(0, now.Add(minIterationInterval).Sub(woken))
			due = woken.Add(wait)
			select {
			case <-m.clock.After(wait):
			case <-m.ctx.Done():
				return
			}
		case <-m.ctx.Done():
			return
		}
	}
}

const (
	// minIterationInterval is the shortest time between two iterations of the
	// loop, so that the changes of a burst of messages are published and pushed
	// together.
	minIterationInterval = 10 * time.Millisecond
	// overloadThreshold is the delay of an iteration above which this VM counts as
	// overloaded. A healthy VM is late by a few milliseconds at most.
	overloadThreshold = 100 * time.Millisecond
	// overloadSuspension is how long an overloaded VM suspects no others and
	// declares none dead, since it may have received answers to its probes without
	// reading them yet. It is longer than a direct and an indirect probe together.
	overloadSuspension = time.Second
)

// suspendJudgement stops suspecting others and declaring them dead for
// overloadSuspension.
func (m *Members) suspendJudgement(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.suspend(now, now.Add(overloadSuspension))
}

// startCalls starts the calls of a plan. Calls are dropped when the pool is
// full: this VM is then overloaded, and its probes would say nothing about
// others.
func (m *Members) startCalls(p plan) {
	for _, id := range p.probes {
		m.submit(func() { m.probe(id) })
	}
	for _, id := range p.pushes {
		m.submit(func() { _ = m.exchange(id, m.cfg.ProbeTimeout) })
	}
}

// submit runs a task in the pool. Close waits for the tasks only, since a pond
// pool without tasks has no goroutine.
func (m *Members) submit(task func()) {
	m.done.Add(1)
	err := m.pool.Go(func() {
		defer m.done.Done()
		task()
	})
	if err != nil {
		m.done.Done()
	}
}

// pushAndWait sends updates to the targets and returns those that answered.
func (m *Members) pushAndWait(targets []siskin.VMID) []siskin.VMID {
	answers := make(chan siskin.VMID, len(targets))
	for _, id := range targets {
		go func() {
			if m.exchange(id, m.cfg.ProbeTimeout) != nil {
				id = ""
			}
			answers <- id
		}()
	}
	var answered []siskin.VMID
	for range targets {
		if id := <-answers; id != "" {
			answered = append(answered, id)
		}
	}
	return answered
}

// wakeLoop makes the loop run its next iteration as soon as
// minIterationInterval allows.
func (m *Members) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
