package member

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// exchange sends a probe and merges the answer.
func (m *Members) exchange(id siskin.VMID, timeout time.Duration) error {
	_, err := m.callProbe(id, timeout, &ProbeArgs{})
	return err
}

func (m *Members) callProbe(id siskin.VMID, timeout time.Duration, args *ProbeArgs) (*ProbeReply, error) {
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	m.mu.Lock()
	args.Message = m.core.message(m.clock.Now(), id)
	m.mu.Unlock()
	reply := new(ProbeReply)
	if err := m.peers.Call(ctx, id, "Member.Probe", args, reply); err != nil {
		return nil, err
	}
	m.receive(reply.Message, reply.Members)
	return reply, nil
}

// receive merges a message. It wakes the loop when there are updates to push or
// changes to publish.
func (m *Members) receive(msg Message, members []Record) {
	now := m.clock.Now()
	m.mu.Lock()
	m.core.receive(now, msg)
	for _, r := range members {
		m.core.acceptPaged(now, r)
	}
	due := m.core.pushDue || len(m.core.unpublished) > 0
	m.mu.Unlock()
	if due {
		m.wakeLoop()
	}
}

// probe probes a member, first directly and then through helpers, and reports a
// failure of both to the core.
func (m *Members) probe(id siskin.VMID) {
	m.mu.Lock()
	target := m.core.members[id]
	if target == nil {
		m.mu.Unlock()
		return
	}
	probed, pauses := target.Record, m.pauses
	m.mu.Unlock()
	if m.exchange(id, m.cfg.ProbeTimeout) == nil || m.probeIndirectly(id) || m.ctx.Err() != nil {
		return
	}
	now := m.clock.Now()
	if m.gap(now) >= maxIterationInterval+m.cfg.PauseThreshold {
		return // this VM was paused, which may be why the probe failed
	}
	m.mu.Lock()
	if m.pauses == pauses {
		m.core.noteFailedProbe(now, probed)
	}
	m.mu.Unlock()
	m.wakeLoop()
}

// probeIndirectly asks helpers to probe and reports whether the member
// answered one of them.
func (m *Members) probeIndirectly(id siskin.VMID) bool {
	m.mu.Lock()
	helpers := m.core.helpers(id)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.IndirectTimeout)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		calls.Go(func() {
			var reply ProbeForReply
			err := m.peers.Call(ctx, helper, "Member.ProbeFor", &ProbeForArgs{Target: id}, &reply)
			answers <- err == nil && reply.Answered
		})
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// joinTimeout bounds calls that may open a connection to a distant VM.
const joinTimeout = 2 * time.Second

// join asks a VM for all members that it knows and merges them.
func (m *Members) join(id siskin.VMID) error {
	after := siskin.VMID("")
	for {
		reply, err := m.callProbe(id, joinTimeout, &ProbeArgs{Join: true, After: after})
		if err != nil {
			return err
		}
		n := len(reply.Members)
		if n < joinPage || reply.Members[n-1].ID <= after {
			return nil
		}
		after = reply.Members[n-1].ID
	}
}
