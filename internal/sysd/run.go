package sysd

import (
	"context"
	"runtime/debug"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/build"
	"siskintray.example/siskin/internal/cmds"
)

// memoryLimitPercent is the part of the allowed memory, in percent, from which
// the garbage collector works harder. The rest is for stacks and buffers of
// the kernel.
const memoryLimitPercent = 66

// memoryOutsideHeap is the memory that the program itself and a heap above its limit
// take, which counts on small VMs.
const memoryOutsideHeap siskin.Bytes = 32 << 20

// heapLimit returns the limit from which the garbage collector works harder.
func heapLimit(vm siskin.Bytes) int64 {
	return int64(max(vm/2, min(vm*memoryLimitPercent/100, vm-memoryOutsideHeap)))
}

// Run runs a VM until ctx is done, and then carries out a planned stop.
func Run(ctx context.Context, d cmds.System) error {
	debug.SetMemoryLimit(heapLimit(d.Settings.VM.Memory))
	n, err := newNode(d.Settings, d.Log)
	if err != nil {
		return err
	}
	d.Log.Info().Str("VM", d.Settings.VM.ID).Str("DataCentre", d.Settings.VM.DataCentre).Str("Version", build.Read().Version).
		Str("Callers", d.Settings.Caller.Address).Str("Peers", d.Settings.Peer.Address).Msg("started")
	n.stats.Scope().Gauge("settings_skipped").Update(float64(len(d.Skipped)))
	<-ctx.Done()
	n.drain(context.Background())
	err = n.close()
	d.Log.Info().Msg("stopped")
	return err
}
