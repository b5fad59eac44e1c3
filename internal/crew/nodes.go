package crew

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	// minPackedNodes is the number of VMs from which on their list is compressed. A
	// list of 295 VMs takes 32 KB, and after a loss of all power each VM asks one
	// of three seeds for it, over links of 20 Mbit/s.
	minPackedNodes = 32
	// packedNodesTTL is the age up to which a compressed list is sent again.
	packedNodesTTL = 200 * time.Millisecond
	// nodesRequestInterval is the least time between two questions for the list, while
	// peers know more VMs than this one.
	nodesRequestInterval = 400 * time.Millisecond
)

// packedNodes is the compressed list of VMs that was sent last.
type packedNodes struct {
	mu   sync.Mutex
	at   time.Time
	data []byte
}

// addNodes adds the VMs that this one knows to an answer.
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

// nodesOf returns the VMs that an answer names.
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
