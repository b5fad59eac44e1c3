package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
)

// hashGrace is how long hashes may differ before pages are sent, since they
// differ briefly after every change.
const hashGrace = 1500 * time.Millisecond

// recordHash returns the contribution of a record to the hash of a view. Only
// running members contribute. Whether a member is suspected does not, since a
// suspicion ends without an exchange of pages.
func recordHash(r Record) uint32 {
	if !r.up() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, r.ID...)
	b = append(b, 0, boolByte(r.Leaving))
	for i := range 8 {
		b = append(b, byte(r.Incarnation>>(8*i)))
	}
	return uint32(xxhash.Sum64(b))
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// message builds the message to another VM.
func (c *core) message(now time.Time, to siskin.VMID) Message {
	from := c.self
	from.DataCentre, from.Address, from.Forward = "", "", ""
	msg := Message{From: from, Hash: c.hash, Updates: c.updateQueue.take(c.rings.size())}
	m := c.members[to]
	if m == nil {
		return msg
	}
	if m.State != siskin.VMLive {
		about := m.Record
		about.DataCentre, about.Address, about.Forward = "", "", ""
		msg.About = &about
	}
	if c.disagrees(m) {
		msg.Page = c.page()
	}
	return msg
}

// disagrees reports whether messages of a member showed for at least hashGrace
// that its view differs from this VM's. One message is not enough: while a fleet
// starts, the views may have become equal since it was sent, and sending pages
// for each such message cost more than all other traffic.
func (c *core) disagrees(m *member) bool {
	return !m.differsSince.IsZero() && m.hash != c.hash && m.lastDiffered.Sub(m.differsSince) >= hashGrace
}

// receive merges a message of another VM.
func (c *core) receive(now time.Time, msg Message) {
	for _, r := range msg.Updates {
		c.accept(now, r)
	}
	if msg.About != nil && msg.About.ID == c.self.ID {
		c.accept(now, *msg.About)
	}
	if m := c.members[msg.From.ID]; m == nil || msg.From.Incarnation <= m.Incarnation {
		// From has no address, so it cannot be the first record of a new
		// incarnation.
		c.accept(now, msg.From)
	}
	for _, r := range msg.Page {
		c.acceptPaged(now, r)
	}
	m := c.members[msg.From.ID]
	switch {
	case m == nil:
	case msg.Hash == c.hash:
		m.differsSince = time.Time{}
	default:
		if m.differsSince.IsZero() {
			m.differsSince = now
		}
		m.lastDiffered, m.hash = now, msg.Hash
	}
}

// acceptPaged merges a record of a member that is running in another VM's view.
// If the member is dead in this VM's view, this VM probes it; if it runs, it
// refutes its death.
func (c *core) acceptPaged(now time.Time, r Record) {
	if !r.up() {
		return
	}
	m := c.members[r.ID]
	if m != nil && m.State == siskin.VMDead && r.compare(m.Record) <= 0 {
		if r.Incarnation == m.Incarnation && len(c.disputed) < maxPage && !slices.Contains(c.disputed, r.ID) {
			c.disputed = append(c.disputed, r.ID)
		}
		return
	}
	r.State = siskin.VMLive // suspicions are sent only as updates
	// Paged records are not sent on as updates: other VMs that lack them request
	// pages too, because their hashes differ.
	c.suppressUpdates = true
	c.accept(now, r)
	c.suppressUpdates = false
	if m := c.members[r.ID]; m != nil {
		m.lastListed = now
	}
}

// page returns the next running members after the cursor, and self.
func (c *core) page() []Record {
	page := c.after(c.cursor, maxPage)
	if len(page) < maxPage {
		c.cursor = ""
	} else {
		c.cursor = page[len(page)-1].ID
	}
	return append(page, c.self)
}

// after returns up to n running members with larger ids, in order.
func (c *core) after(id siskin.VMID, n int) []Record {
	var ids []siskin.VMID
	if c.self.ID > id {
		ids = append(ids, c.self.ID)
	}
	for other, m := range c.members {
		if other > id && m.up() {
			ids = append(ids, other)
		}
	}
	slices.Sort(ids)
	records := make([]Record, 0, min(n, len(ids)))
	for _, id := range ids[:min(n, len(ids))] {
		if id == c.self.ID {
			records = append(records, c.self)
			continue
		}
		records = append(records, c.members[id].Record)
	}
	return records
}
