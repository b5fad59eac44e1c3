package limit

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxHints bounds the memory per customer. Few VMs serve a customer, so
	// it has few holders.
	maxHints = 32
	// unknownSpare is the estimate for a holder without a hint: more than
	// that of a holder known to have little to spare, less than that of one
	// known to have much.
	unknownSpare = siskin.TotalQuotaUnits / 16
	// hintTTL is the age at which a hint has no more weight, since units
	// follow demand. Without it, a holder that once had nothing to spare
	// would never be asked again.
	hintTTL = time.Second
)

// hints are the latest known spare units of the other holders of a customer.
// All units of a holder would be misleading: one with high demand can give
// none.
type hints []hint

type hint struct {
	vm         siskin.VMID
	spare      siskin.QuotaUnits
	updatedAt  time.Duration
	answeredAt time.Duration // when this VM last received a reply from it
	// demand is the demand stated in the holder's last message.
	demand float64
}

// set records the spare units of a holder at the given time, unless there is a
// newer hint. It replaces the oldest hint if there are maxHints others.
func (h *hints) set(updatedAt time.Duration, vm siskin.VMID, spare siskin.QuotaUnits) {
	oldest := 0
	for i := range *h {
		if (*h)[i].vm == vm {
			if updatedAt >= (*h)[i].updatedAt {
				(*h)[i].spare, (*h)[i].updatedAt = spare, updatedAt
			}
			return
		}
		if (*h)[i].updatedAt < (*h)[oldest].updatedAt {
			oldest = i
		}
	}
	if len(*h) < maxHints {
		*h = append(*h, hint{vm: vm, spare: spare, updatedAt: updatedAt})
		return
	}
	(*h)[oldest] = hint{vm: vm, spare: spare, updatedAt: updatedAt}
}

// setDemand records the demand at a holder that has a hint.
func (h hints) setDemand(vm siskin.VMID, demand siskin.RequestsPerSecond) {
	for i := range h {
		if h[i].vm == vm {
			h[i].demand = float64(demand)
		}
	}
}

// demandAt returns the sum of the known demand at the given holders.
func (h hints) demandAt(holders []holderID) (sum float64) {
	for i := range h {
		for _, o := range holders {
			if o.VM == h[i].vm {
				sum += h[i].demand
			}
		}
	}
	return sum
}

// spareOf estimates the spare units of a holder from its hint and the age of
// the hint.
func (h hints) spareOf(now time.Duration, vm siskin.VMID) siskin.QuotaUnits {
	for i := range h {
		if h[i].vm == vm {
			return h[i].estimate(now)
		}
	}
	return unknownSpare
}

func (h *hint) estimate(now time.Duration) siskin.QuotaUnits {
	age := min(max(now-h.updatedAt, 0), hintTTL)
	return h.spare + siskin.QuotaUnits(int64(unknownSpare-h.spare)*int64(age/time.Microsecond)/int64(hintTTL/time.Microsecond))
}

// richest returns the hint with the most spare units within hintTTL, except
// that of the given VM.
func (h hints) richest(now time.Duration, other siskin.VMID) (best hint) {
	for i := range h {
		if h[i].vm != other && now-h[i].updatedAt < hintTTL && h[i].spare > best.spare {
			best = h[i]
		}
	}
	return best
}

// answeredSince reports whether a reply from a holder arrived after t. Hints
// that other holders passed on do not count.
func (h hints) answeredSince(t time.Duration, vm siskin.VMID) bool {
	for i := range h {
		if h[i].vm == vm {
			return h[i].answeredAt > t
		}
	}
	return false
}

// markAnswered records that a holder with a hint replied to a request.
func (h hints) markAnswered(now time.Duration, vm siskin.VMID) {
	for i := range h {
		if h[i].vm == vm {
			h[i].answeredAt = now
		}
	}
}
