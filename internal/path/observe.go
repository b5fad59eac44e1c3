package path

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// homeObserveTimeout limits a status request through the home of a target, so
// that time is left to query the target directly.
const homeObserveTimeout = 55 * time.Millisecond

// Observe queries the state of a target and the age of its connection: through
// its home, which has long-lived connections, or else on a connection of this
// VM.
func (p *Path) Observe(ctx context.Context, id siskin.TargetID) (home.Observation, error) {
	if t, ok := p.cfg.Roster.Target(id); ok {
		if vm, ok := p.Home(t); ok && vm != p.cfg.Crew.Self().ID {
			var reply home.Observation
			ctx, cancel := context.WithTimeout(ctx, homeObserveTimeout)
			defer cancel()
			if err := p.cfg.Peers.Call(ctx, vm, "Home.Observe", &ObserveArgs{Target: id}, &reply); err == nil {
				return reply, nil
			}
		}
	}
	return observe(ctx, p.cfg.Homes, p.cfg.Status, id)
}

func observe(ctx context.Context, homes *home.Homes, status func(*siskin.Answer) (siskin.ControlStatus, error), id siskin.TargetID) (o home.Observation, err error) {
	var a siskin.Answer
	if a, o.ConnAge, err = homes.Observe(ctx, id); err != nil {
		return o, err
	}
	o.Status, err = status(&a)
	return o, err
}
