package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// notOwned refuses requests for a slot that another VM owns.
type notOwned struct {
	target siskin.TargetID
	slot   siskin.Slot
}

// Acquire implements relay.Queue.
func (n notOwned) Acquire(context.Context, siskin.CustomerID, int, time.Time) (func(), error) {
	return nil, siskin.NewError(siskin.NotRun, "this VM does not own slot %d of target %s", n.slot, n.target).
		WithRemedy("repeat the request; it goes to the owner")
}
