package member

import (
	"context"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

const (
	// seedInterval is the time between two attempts to join the fleet while this
	// VM knows no other running VM.
	seedInterval = time.Second
	// listReaders is the number of VMs per data centre that read the platform's
	// list every ListInterval; the others get updates about gone VMs from them.
	listReaders = 2
	// otherReaderFactor times ListInterval is the time between two reads by the
	// other VMs.
	otherReaderFactor = 60
	// maxContacts bounds the VMs that are contacted after one read of the list.
	maxContacts = 3
)

// maintain joins the fleet and reads the platform's list.
func (m *Members) maintain() {
	var nextSeeds, nextList time.Time
	for {
		now := m.clock.Now()
		alone := m.alone()
		if !now.Before(nextSeeds) {
			m.joinSeeds(alone)
			nextSeeds = now.Add(30 * seedInterval)
			if alone {
				nextSeeds = now.Add(seedInterval)
			}
		}
		if m.platform != nil && !now.Before(nextList) {
			m.readList()
			nextList = now.Add(m.listInterval())
		}
		select {
		case <-m.clock.After(seedInterval):
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Members) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.rings.size() <= 1
}

// joinSeeds contacts the seeds until one answers; unless this VM is alone it
// tries only one, at random, in case all members on the other side of a
// partition were forgotten. Only a seed that is unknown or dead in this VM's view
// is asked to list its members.
func (m *Members) joinSeeds(alone bool) {
	if len(m.cfg.Seeds) == 0 {
		return
	}
	first := rand.IntN(len(m.cfg.Seeds))
	for i := range m.cfg.Seeds {
		id := m.cfg.Seeds[(first+i)%len(m.cfg.Seeds)]
		if id == m.cfg.Self.ID {
			continue
		}
		reply, err := m.callProbe(id, joinTimeout, &ProbeArgs{})
		if err == nil {
			if vm, ok := m.Lookup(reply.From.ID); !ok || vm.State == siskin.VMDead {
				err = m.join(id)
			}
		}
		if err == nil || !alone || m.ctx.Err() != nil {
			return
		}
	}
}

// readList merges the platform's list and contacts listed VMs that are not
// known. A list that cannot be read changes nothing.
func (m *Members) readList() {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.ListInterval)
	defer cancel()
	vms, err := m.platform.VMs(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	unknown := m.core.acceptList(m.clock.Now(), vms)
	m.publish()
	m.mu.Unlock()
	m.wakeLoop()
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, vm := range unknown[:min(len(unknown), maxContacts)] {
		_ = m.join(siskin.AddressID(vm.PeerAddress))
	}
}

// listInterval returns the time to the next read, with jitter.
func (m *Members) listInterval() time.Duration {
	d := m.cfg.ListInterval
	self := m.Self()
	ranked := place.Rank("Member/ListReader", place.PreferDataCentre(self.DataCentre, m.Live()))
	for i, vm := range ranked {
		if i < listReaders && vm.ID == self.ID {
			return d/2 + time.Duration(rand.Int64N(int64(d)))
		}
	}
	return otherReaderFactor * (d/2 + time.Duration(rand.Int64N(int64(d))))
}
