package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

// runDrain restarts every VM in turn under load. A planned stop may cut no
// request in progress.
func runDrain(ctx context.Context, e *env) error {
	p := e.Profile
	p.Services = p.Services[:1]
	f, err := e.start(ctx, p)
	if err != nil {
		return err
	}
	defer f.Close()
	// Each VM gets a phase of its own for its stop, its start and the moves of
	// its slots.
	e.Duration = e.Duration * time.Duration(len(f.VMs)+1)
	var wg sync.WaitGroup
	var restartErr error
	wg.Go(func() { restartErr = e.restartAll(ctx, f) })
	cfg := e.loadConfig(f, p.Services[0], 0.4, 0.3)
	run := e.run(ctx, f, p.Services[0], cfg)
	wg.Wait()
	if restartErr != nil {
		return restartErr
	}
	events := run.Recorder.Events()
	cut, refused := 0, 0
	for i := range events {
		switch o := events[i].Outcome; {
		case o == load.ConnectionLost || o == "OutcomeUnknown":
			cut++
		case o != load.Acknowledged && o != load.Stopped && o != load.NotConnected:
			refused++
		}
	}
	e.result.addBounded("requests cut in progress", float64(cut), 0, "requests")
	e.result.add("requests refused", float64(refused), "requests")
	e.result.add("requests refused within rate", 100*refusedWithinRate(events, p.Customers), "%")
	e.outcomes("all:", events)
	return nil
}

func (e *env) restartAll(ctx context.Context, f *fleet.Fleet) error {
	phase := e.Duration / time.Duration(len(f.VMs)+1)
	for _, vm := range f.VMs {
		began := time.Now()
		e.Progress(fmt.Sprintf("restarting %s", vm.ID()))
		vm.Stop()
		e.result.addDuration(fmt.Sprintf("planned stop of %s", vm.ID()), time.Since(began))
		if err := vm.Start(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(phase - time.Since(began)):
		}
	}
	return nil
}
