package member

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// resumeTimeout bounds the search for a peer that answers after a pause, so
	// that a VM without reachable peers resumes serving.
	resumeTimeout = 2 * time.Second
	// resumeRetryInterval is the time between two rounds of that search.
	resumeRetryInterval = 50 * time.Millisecond
	// maxRechecks bounds the members that are probed at once after a pause because
	// a peer did not list them.
	maxRechecks = 16
)

// resume handles a pause of this VM: it refutes suspicions and asks its peers
// for their members before roles are used again.
func (m *Members) resume(now time.Time, gap time.Duration) {
	m.resuming.Store(true)
	defer m.resuming.Store(false)
	m.mu.Lock()
	m.pauses++
	m.core.resume(now)
	m.mu.Unlock()
	for deadline := now.Add(resumeTimeout); ; {
		m.mu.Lock()
		targets, alone := m.core.resumeTargets(), m.core.rings.size() <= 1
		m.mu.Unlock()
		if alone || m.catchUp(m.pushAndWait(targets)) || !m.clock.Now().Before(deadline) {
			break
		}
		select {
		case <-m.clock.After(resumeRetryInterval):
		case <-m.ctx.Done():
			return
		}
	}
	m.mu.Lock()
	m.runEnded.Store(m.core.superseded)
	m.publish()
	m.mu.Unlock()
	m.onResumed(gap)
}

// resumeTargets returns the successors and some random members, since the
// successors may have died during the pause.
func (c *core) resumeTargets() []siskin.VMID {
	ids := c.successors()
	for _, id := range c.helpers("") {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// catchUp merges the members of the first VM that lists them and schedules
// probes of the members that the list lacks. They may have died: an update about
// a death is sent only a few times, so a VM misses it in a long pause.
func (m *Members) catchUp(answered []siskin.VMID) bool {
	for _, id := range answered {
		started := m.clock.Now()
		if m.join(id) != nil {
			continue
		}
		m.mu.Lock()
		m.core.unconfirmed = m.core.unlisted(started, id)
		m.mu.Unlock()
		return true
	}
	return false
}

// unlisted returns the live members that no page has contained since the given
// time, except the sender of the pages.
func (c *core) unlisted(since time.Time, sender siskin.VMID) []siskin.VMID {
	var ids []siskin.VMID
	for id, other := range c.members {
		if id != sender && other.State == siskin.VMLive && other.lastListed.Before(since) {
			ids = append(ids, id)
		}
	}
	return ids
}

// takeUnconfirmed returns the next members to probe because a peer did not list
// them. It returns none until suspendedUntil, since failed probes are ignored
// before that.
func (c *core) takeUnconfirmed(now time.Time) []siskin.VMID {
	if now.Before(c.suspendedUntil) {
		return nil
	}
	n := min(len(c.unconfirmed), maxRechecks)
	taken := c.unconfirmed[:n]
	c.unconfirmed = c.unconfirmed[n:]
	return taken
}
