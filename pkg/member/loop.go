package member

import (
	"time"

	"siskintray.example/siskin"
)

// run turns the decisions of the core into calls.
func (m *Members) run() {
	superseded := false
	due := m.clock.Now()
	for {
		now := m.clock.Now()
		if now.Sub(due) > lateAfter {
			m.noteLate(now)
		}
		if gap := m.gap(now); gap >= maxWait+m.cfg.PauseThreshold {
			m.resume(now, gap)
			now = m.clock.Now()
		}
		m.beat.Store(now.UnixNano())
		m.mu.Lock()
		p := m.core.step(now)
		newlySuperseded := m.core.superseded && !superseded
		superseded = m.core.superseded
		m.publish()
		m.mu.Unlock()
		if newlySuperseded {
			m.over.Store(true)
			m.onSuperseded()
		}
		m.perform(p)
		due = now.Add(max(turnInterval, min(p.next.Sub(now), maxWait)))
		select {
		case <-m.clock.After(due.Sub(now)):
		case <-m.wake:
			woken := m.clock.Now()
			wait := max(0, now.Add(turnInterval).Sub(woken))
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
	// turnInterval is the shortest time between two turns of the loop, so that
	// a burst of messages is made visible and pushed together.
	turnInterval = 10 * time.Millisecond
	// lateAfter is the delay of a turn from which this VM is overloaded. A
	// healthy VM is late by a few milliseconds at most.
	lateAfter = 100 * time.Millisecond
	// lateFor is how long an overloaded VM does not judge others: answers to
	// its probes may wait in it unread. It is above the time of a whole probe.
	lateFor = time.Second
)

// noteLate suspends the judgement of others for a while.
func (m *Members) noteLate(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.core.suspend(now, now.Add(lateFor))
}

// perform starts the calls of a plan. When the pool is full, this VM is
// overloaded and cannot judge others; the calls are left out.
func (m *Members) perform(p plan) {
	for _, id := range p.probes {
		m.submit(func() { m.probe(id) })
	}
	for _, id := range p.pushes {
		m.submit(func() { _ = m.exchange(id, m.cfg.ProbeTimeout) })
	}
}

// submit runs a task in the pool. Close waits for the tasks themselves, since
// a pool of pond without tasks holds no goroutine.
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

// pushAndWait sends news to the targets and returns those that answered.
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

// wakeLoop makes the loop take its next turn at once.
func (m *Members) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
