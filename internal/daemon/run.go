package daemon

import (
	"context"

	"siskintray.example/siskin/internal/cmds"
)

// Run runs a VM until ctx is done, an operator requests a planned stop or the
// run is superseded. It then makes a planned stop.
func Run(ctx context.Context, c cmds.Daemon) error {
	restore := reportViolations(c.Log)
	defer restore()
	d, err := Start(c.Settings, WithLog(c.Log))
	if err != nil {
		return err
	}
	for {
		select {
		case r := <-c.Reload:
			r.Result <- d.reload(r.Settings)
			continue
		case <-ctx.Done():
		case <-d.StopRequested():
		}
		d.Stop()
		return nil
	}
}
