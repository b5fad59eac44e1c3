package pool

import "siskintray.example/siskin"

// Key identifies one slot of one target.
type Key struct {
	Target siskin.TargetID
	Slot   siskin.Slot
}
