package limit

import "time"

const (
	// exchangeRate and exchangeBurst bound the bytes that a VM's own requests
	// for units cause, replies included. All control traffic of a VM together
	// has 7 KB/s. Moving demand at eight VMs needs 0.5 KB/s; without the bound,
	// customers at 8 times their rate caused 23 KB/s.
	exchangeRate  = 3000
	exchangeBurst = 12_000
	// messageBytes and itemBytes are the encoded sizes of a request with its
	// reply, without and per item, rounded up.
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
