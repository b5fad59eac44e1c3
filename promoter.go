package siskin

import "context"

// FencingToken orders the commands of successive holders of a duty. A command with a
// smaller fence than one already seen is refused.
type FencingToken uint64

// Promoter orders the platform to make a target the primary of its service.
type Promoter interface {
	// Promote returns nil when the order was accepted. An error of kind Conflict
	// says that a higher fence was used or that the target does not run; one of
	// kind Overloaded that nothing was done. After an error of kind
	// OutcomeUnknown the order may still be carried out seconds later.
	Promote(ctx context.Context, service ServiceName, target TargetID, holder VMID, fence FencingToken) error
}
