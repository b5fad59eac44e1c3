package pool

import "siskintray.example/siskin"

// Key names one slot of one target.
type Key struct {
	Target siskin.TargetID
	Slot   siskin.Slot
}
