package sysd

import (
	"context"
	"runtime/debug"

	"siskintray.example/siskin/internal/cmds"
)

// memoryLimitPercent is the part of the allowed memory, in percent, from which
// the garbage collector works harder. The rest is for stacks and buffers of
// the kernel.
const memoryLimitPercent = 66

// Run runs a VM until ctx is done, and then carries out a planned stop.
func Run(ctx context.Context, d cmds.System) error {
	debug.SetMemoryLimit(int64(d.Settings.VM.Memory) * memoryLimitPercent / 100)
	n, err := newNode(d.Settings, d.Log)
	if err != nil {
		return err
	}
	d.Log.Info().Str("VM", d.Settings.VM.ID).Str("DataCentre", d.Settings.VM.DataCentre).Str("Version", cmds.Version()).
		Str("Callers", d.Settings.Caller.Address).Str("Peers", d.Settings.Peer.Address).Msg("started")
	<-ctx.Done()
	n.drain(context.Background())
	err = n.close()
	d.Log.Info().Msg("stopped")
	return err
}
