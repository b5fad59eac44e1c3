package crew

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	// minPackedNodes is the number of VMs from which on the list of VMs is
	// compressed. A list of 295 VMs takes 32 KB, and after a power loss of the
	// whole fleet each VM requests it from one of three seeds, over links of 20
	// Mbit/s.
	minPackedNodes = 32
	// packedNodesTTL is the time for which a compressed list is reused.
	packedNodesTTL = 200 * time.Millisecond
	// nodesRequestInterval is the minimum time between two requests for the
	// list while peers know more VMs than this one.
	nodesRequestInterval = 400 * time.Millisecond
)

// packedNodes is the compressed list of VMs that was sent last.
type packedNodes struct {
	mu   sync.Mutex
	at   time.Time
	data []byte
}

// addNodes adds the VMs that this one knows to a reply.
func (c *Crew) addNodes(s *State) error {
	now := c.cfg.Clock.Now()
	p := &c.packedNodes
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && now.Sub(p.at) < packedNodesTTL {
		s.PackedNodes = p.data
		return nil
	}
	nodes := c.Nodes()
	if len(nodes) < minPackedNodes {
		s.Nodes = nodes
		return nil
	}
	encoded, err := json.Marshal(nodes)
	if err != nil {
		return err
	}
	if p.data, err = compress(encoded); err != nil {
		return err
	}
	p.at, s.PackedNodes = now, p.data
	return nil
}

// nodesOf returns the VMs listed in a reply.
func nodesOf(s *State) ([]Node, error) {
	if len(s.PackedNodes) == 0 {
		return s.Nodes, nil
	}
	encoded, err := unpack(s.PackedNodes)
	if err != nil {
		return nil, err
	}
	var nodes []Node
	err = json.Unmarshal(encoded, &nodes)
	return nodes, err
}
