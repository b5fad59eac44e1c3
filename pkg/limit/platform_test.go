package limit

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// Get implements siskin.Platform.
func (f *fleet) Get(_ context.Context, name siskin.ObjectName) (siskin.Object, error) {
	if f.platformDown {
		return siskin.Object{}, siskin.NewError(siskin.Unavailable, "platform down")
	}
	return f.objects[name], nil
}

// Put implements siskin.Platform.
func (f *fleet) Put(_ context.Context, name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (siskin.Version, error) {
	if f.platformDown {
		return 0, siskin.NewError(siskin.Unavailable, "platform down")
	}
	if f.objects[name].Version != ifVersion {
		return 0, siskin.NewError(siskin.Conflict, "version mismatch")
	}
	f.objects[name] = siskin.Object{Name: name, Version: ifVersion + 1, Operation: op, Value: value}
	if f.rng.Float64() < f.lossRate {
		return 0, siskin.NewError(siskin.Unavailable, "reply lost")
	}
	return ifVersion + 1, nil
}

// List implements siskin.Platform; the limiter does not use it.
func (f *fleet) List(context.Context, siskin.ObjectName) ([]siskin.Object, error) { panic("unused") }

// Watch implements siskin.Platform; the limiter does not use it.
func (f *fleet) Watch(context.Context, siskin.ObjectName, siskin.Version) (siskin.Object, error) {
	panic("unused")
}

// VMs implements siskin.Platform.
func (f *fleet) VMs(context.Context) (list []siskin.VM, err error) {
	if f.platformDown {
		return nil, siskin.NewError(siskin.Unavailable, "platform down")
	}
	for _, n := range f.vms {
		list = append(list, n.vm)
	}
	return list, nil
}

// Now implements siskin.Clock.
func (f *fleet) Now() time.Time { return f.at }

// Since implements siskin.Clock.
func (f *fleet) Since(t time.Time) time.Duration { return f.at.Sub(t) }

// Sleep implements siskin.Clock. It is unused, since the tests step the fleet.
func (f *fleet) Sleep(time.Duration) { panic("unused") }

// After implements siskin.Clock. It advances the fleet, so that tests can call
// Handover.
func (f *fleet) After(d time.Duration) <-chan time.Time {
	f.run(d)
	c := make(chan time.Time, 1)
	c <- f.at
	return c
}
