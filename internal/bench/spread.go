package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/pkg/config"
)

// Stated times until a configuration is in force everywhere: the bound at the
// planned size and the aim at today's.
const (
	maxSpread   = 9 * time.Second
	spreadCount = 20
	changePause = 300 * time.Millisecond
)

// runSpread measures the time from an operator's call to a change in force at
// every VM, without faults and with the platform's answers lost.
func runSpread(ctx context.Context, e *env) error {
	f, err := e.start(ctx, e.Profile)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := e.spread(ctx, f, "healthy", func() {}); err != nil {
		return err
	}
	return e.spread(ctx, f, "answers of the platform lost", func() { f.Platform.LoseNext(1) })
}

func (e *env) spread(ctx context.Context, f *fleet.Fleet, name string, fault func()) error {
	e.Progress(name)
	var times []time.Duration
	for i := range spreadCount {
		fault()
		service := *f.Service(e.Profile.Services[0])
		service.MaxUnconfirmed = config.Duration(2*time.Second + time.Duration(i)*time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(ctx, maxSpread)
		err := f.Apply(ctx, &config.Change{Base: f.VMs[0].Status().Revision, Services: []*config.Service{&service}})
		cancel()
		if err != nil {
			return fmt.Errorf("change %d, %s: %w", i, name, err)
		}
		times = append(times, time.Since(began))
		time.Sleep(changePause) // operators' changes, not a test of the VM's call budget
	}
	slices.Sort(times)
	e.result.addDuration("in force everywhere, median, "+name, times[len(times)/2])
	e.result.addBounded("in force everywhere, longest, "+name, milliseconds(times[len(times)-1]), milliseconds(maxSpread), "ms")
	return nil
}
