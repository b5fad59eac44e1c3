package peer

import (
	"sync"
	"sync/atomic"
)

// MethodStats are the message counts of one method, seen from a Client or a
// Server.
type MethodStats struct {
	// Sent and Received count messages: requests and responses.
	Sent, Received int64
	// SentBytes and ReceivedBytes count the bytes of frames, without the
	// overhead of TLS and TCP.
	SentBytes, ReceivedBytes int64
}

type methodCounters struct {
	sent, received, sentBytes, receivedBytes atomic.Int64
}

// counters counts messages by method. Only methods that this VM calls or has
// registered are counted, so that the number of names is bounded.
type counters struct {
	byMethod sync.Map // string to *methodCounters
}

func (c *counters) forMethod(method string) *methodCounters {
	if m, ok := c.byMethod.Load(method); ok {
		return m.(*methodCounters)
	}
	m, _ := c.byMethod.LoadOrStore(method, new(methodCounters))
	return m.(*methodCounters)
}

func (c *counters) sent(method string, bytes int) {
	m := c.forMethod(method)
	m.sent.Add(1)
	m.sentBytes.Add(int64(bytes))
}

func (c *counters) received(method string, bytes int) {
	m := c.forMethod(method)
	m.received.Add(1)
	m.receivedBytes.Add(int64(bytes))
}

func (c *counters) snapshot() map[string]MethodStats {
	all := make(map[string]MethodStats)
	c.byMethod.Range(func(k, v any) bool {
		m := v.(*methodCounters)
		all[k.(string)] = MethodStats{m.sent.Load(), m.received.Load(), m.sentBytes.Load(), m.receivedBytes.Load()}
		return true
	})
	return all
}
