package limit

import "time"

const (
	// exchangeRate and exchangeBurst limit the traffic caused by this VM's
	// requests for units, including the replies, in bytes per second and
	// bytes. All control traffic of a VM together has 7 KB/s. Demand that
	// moves between eight VMs needs 0.5 KB/s; without the limit, customers at
	// 8 times their rate caused 23 KB/s.
	exchangeRate  = 3000
	exchangeBurst = 12_000
	// messageBytes is the encoded size of a request and its reply without
	// items, rounded up. itemBytes is the size that each item adds.
	messageBytes = 120
	itemBytes    = 140
)

// budget is a token bucket of bytes.
type budget struct {
	spent     float64
	updatedAt time.Duration
}

// left returns the bytes that may be sent now.
func (b *budget) left(now time.Duration) float64 {
	b.spent = max(0, b.spent-exchangeRate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return exchangeBurst - b.spent
}
