package limit

import "siskintray.example/siskin"

// hints remembers what a few other holders of a customer had last.
type hints [4]hint

type hint struct {
	vm    siskin.VMID
	units siskin.Units
}

// set records the units of a holder. A new holder replaces the poorest.
func (h *hints) set(vm siskin.VMID, units siskin.Units) {
	poorest := 0
	for i := range h {
		if h[i].vm == vm {
			h[i].units = units
			return
		}
		if h[i].vm == "" || (h[poorest].vm != "" && h[i].units < h[poorest].units) {
			poorest = i
		}
	}
	if h[poorest].vm == "" || units > h[poorest].units {
		h[poorest] = hint{vm, units}
	}
}

// richest returns the richest known holder other than the given one.
func (h *hints) richest(other siskin.VMID) hint {
	var best hint
	for i := range h {
		if h[i].vm != "" && h[i].vm != other && h[i].units > best.units {
			best = h[i]
		}
	}
	return best
}
