package limit

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxHints bounds the memory per customer. Homes, and with them holders, are
	// few.
	maxHints = 32
	// unknownSpare is assumed of a holder without a hint: more than a holder
	// that is known to have little, less than a rich one.
	unknownSpare = siskin.TotalQuotaUnits / 16
	// hintTTL is the age at which a hint says nothing anymore, since units
	// follow demand. Without it a holder that was poor once is never asked again.
	hintTTL = time.Second
)

// hints remembers what other holders of a customer could spare last. The spare
// units count, not all: a holder with high demand is no giver.
type hints []hint

type hint struct {
	vm         siskin.VMID
	spare      siskin.QuotaUnits
	updatedAt  time.Duration
	answeredAt time.Duration // when this VM asked it last
	// demand is the demand at the holder in its last message.
	demand float64
}

// set records the spare units of a holder as of a time, unless a newer hint
// exists. When full, the oldest hint goes.
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

// setDemand records the demand at a holder with a hint.
func (h hints) setDemand(vm siskin.VMID, demand siskin.RequestsPerSecond) {
	for i := range h {
		if h[i].vm == vm {
			h[i].demand = float64(demand)
		}
	}
}

// demandAt returns the demand at the given holders.
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

// spareOf estimates the spare units of a holder from the last known ones and their age.
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

// richest returns the richest holder other than the given one.
func (h hints) richest(now time.Duration, other siskin.VMID) (best hint) {
	for i := range h {
		if h[i].vm != other && now-h[i].updatedAt < hintTTL && h[i].spare > best.spare {
			best = h[i]
		}
	}
	return best
}

// answeredSince reports whether a holder was asked after t. Hints that came from
// others do not count.
func (h hints) answeredSince(t time.Duration, vm siskin.VMID) bool {
	for i := range h {
		if h[i].vm == vm {
			return h[i].answeredAt > t
		}
	}
	return false
}

// markAnswered records that a holder with a hint was asked.
func (h hints) markAnswered(now time.Duration, vm siskin.VMID) {
	for i := range h {
		if h[i].vm == vm {
			h[i].answeredAt = now
		}
	}
}
