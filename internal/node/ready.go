package node

import "time"

// maxConfigWait bounds the wait of callers for the first configuration. A VM that
// finds neither the platform nor a peer then refuses them instead.
const maxConfigWait = 3 * time.Second

// awaitConfig waits until a configuration is in force, so that a VM that has
// just started does not tell callers that their service is unknown.
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
