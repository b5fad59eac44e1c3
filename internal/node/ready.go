package node

import "time"

// maxConfigWait bounds how long callers wait for the first configuration. After
// it, a VM that reaches neither the platform nor a peer refuses them.
const maxConfigWait = 3 * time.Second

// awaitConfig waits until a configuration is in force, so that a VM that has
// just started does not refuse callers because their service is unknown.
func (n *Node) awaitConfig() {
	timeout := n.cfg.Clock.After(maxConfigWait)
	for {
		changed := n.cfg.Config.Changed()
		if n.cfg.Config.Revision() > 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-n.ctx.Done():
			return
		}
	}
}
