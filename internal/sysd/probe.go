package sysd

import (
	"context"

	"siskintray.example/siskin"
)

// probeTarget asks a target for its state as a request would reach it: through
// its home, or else directly.
func (n *node) probeTarget(ctx context.Context, id siskin.TargetID) error {
	_, err := n.path.Observe(ctx, id)
	return err
}
