package fairq

const minSlots = 4 // a power of two

// flowPart is one part of a flowTable. The number of slots is a power of two.
type flowPart struct {
	hashes []uint32 // 0 for a free slot
	flows  []*flow
	n      int
}

// slotFor returns the first slot to probe for a hash. It also reduces a
// difference of slots modulo their number.
func (p *flowPart) slotFor(h uint32) uint32 { return h & uint32(len(p.hashes)-1) }

func (p *flowPart) next(i uint32) uint32 { return (i + 1) & uint32(len(p.hashes)-1) }

func (p *flowPart) grow() {
	hashes, flows := p.hashes, p.flows
	slots := max(minSlots, 2*len(hashes))
	p.hashes, p.flows = make([]uint32, slots), make([]*flow, slots)
	for i, h := range hashes {
		if h != 0 {
			p.insert(h, flows[i])
		}
	}
}

func (p *flowPart) insert(h uint32, f *flow) {
	i := p.slotFor(h)
	for p.hashes[i] != 0 {
		i = p.next(i)
	}
	p.hashes[i], p.flows[i] = h, f
}

// vacate frees a slot and moves later flows of its probe sequence into the gap,
// so that no lookup ends too early.
func (p *flowPart) vacate(gap uint32) {
	for i := p.next(gap); p.hashes[i] != 0; i = p.next(i) {
		// The flow may move when its first slot is not between the gap and i.
		if p.slotFor(i-p.slotFor(p.hashes[i])) >= p.slotFor(i-gap) {
			p.hashes[gap], p.flows[gap] = p.hashes[i], p.flows[i]
			gap = i
		}
	}
	p.hashes[gap], p.flows[gap] = 0, nil
}
