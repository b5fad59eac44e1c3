package daemon

import (
	"context"

	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/cmds"
)

// Run runs a VM until ctx ends, an operator asks for the planned stop or the
// run is superseded. It then stops as planned.
func Run(ctx context.Context, c cmds.Daemon) error {
	restore := reportViolations(c.Log)
	defer restore()
	d, err := Start(c.Settings, WithLog(c.Log))
	if err != nil {
		return err
	}
	for {
		select {
		case next := <-c.Reload:
			d.reload(next)
			continue
		case <-ctx.Done():
		case <-d.Leave():
		}
		d.Stop()
		return nil
	}
}

// reload takes over settings that can change while the VM runs, and reads the
// certificate and token keys again.
func (d *Daemon) reload(next *cfgini.Daemon) {
	if c := d.listeners.callerCert; c != nil {
		if err := c.reload(); err != nil {
			d.log().Error().Err(err).Msg("certificate not reloaded; the earlier one stays in use")
		}
	}
	current, previous, err := readKeys(next.Token)
	if err == nil {
		err = d.tokens.SetKeys(current, previous)
	}
	if err != nil {
		d.log().Error().Err(err).Msg("token keys not reloaded; the earlier ones stay in use")
	}
	d.stopDeadline.Store(int64(next.Stop.Deadline))
}
