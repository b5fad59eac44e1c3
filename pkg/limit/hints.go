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
	// hintSpan is the age at which a hint says nothing anymore, since units
	// follow demand. Without it a holder that was poor once is never asked again.
	hintSpan = time.Second
)

// hints remembers what other holders of a customer could spare last. The spare
// units count, not all: a holder with high demand is no giver.
type hints []hint

type hint struct {
	vm    siskin.VMID
	spare siskin.QuotaUnits
	at    time.Duration
	asked time.Duration // when this VM asked it last
	// demand is the demand at the holder in its last message.
	demand float64
}

// set records the spare units of a holder as of a time, unless a newer hint
// exists. When full, the oldest hint goes.
func (h *hints) set(at time.Duration, vm siskin.VMID, spare siskin.QuotaUnits) {
	oldest := 0
	for i := range *h {
		if (*h)[i].vm == vm {
			if at >= (*h)[i].at {
				(*h)[i].spare, (*h)[i].at = spare, at
			}
			return
		}
		if (*h)[i].at < (*h)[oldest].at {
			oldest = i
		}
	}
	if len(*h) < maxHints {
		*h = append(*h, hint{vm: vm, spare: spare, at: at})
		return
	}
	(*h)[oldest] = hint{vm: vm, spare: spare, at: at}
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

// get estimates the spare units of a holder from the last known ones and their age.
func (h hints) get(now time.Duration, vm siskin.VMID) siskin.QuotaUnits {
	for i := range h {
		if h[i].vm == vm {
			return h[i].estimate(now)
		}
	}
	return unknownSpare
}

func (h *hint) estimate(now time.Duration) siskin.QuotaUnits {
	age := min(max(now-h.at, 0), hintSpan)
	return h.spare + siskin.QuotaUnits(int64(unknownSpare-h.spare)*int64(age/time.Microsecond)/int64(hintSpan/time.Microsecond))
}

// richest returns the richest holder other than the given one.
func (h hints) richest(now time.Duration, other siskin.VMID) (best hint) {
	for i := range h {
		if h[i].vm != other && now-h[i].at < hintSpan && h[i].spare > best.spare {
			best = h[i]
		}
	}
	return best
}

// askedSince reports whether a holder was asked after t. Hints that came from
// others do not count.
func (h hints) askedSince(t time.Duration, vm siskin.VMID) bool {
	for i := range h {
		if h[i].vm == vm {
			return h[i].asked > t
		}
	}
	return false
}

// ask records that a holder with a hint was asked.
func (h hints) ask(now time.Duration, vm siskin.VMID) {
	for i := range h {
		if h[i].vm == vm {
			h[i].asked = now
		}
	}
}
