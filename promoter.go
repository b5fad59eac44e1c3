package siskin

import "context"

// FencingToken orders the commands of VMs that succeed each other in a role. A
// command with a smaller token than one already seen is rejected.
type FencingToken uint64

// Promoter requests that the platform make a target the primary of its service.
type Promoter interface {
	// Promote returns nil if the request was accepted. An error of kind Conflict
	// means that a higher token was used or that the target does not run, and one
	// of kind Overloaded that nothing was done. After an error of kind
	// OutcomeUnknown the promotion may still be carried out seconds later.
	Promote(ctx context.Context, service ServiceName, target TargetID, holder VMID, fence FencingToken) error
}
