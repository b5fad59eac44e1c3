package admintest

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// groups is the part of the fake whose View differs from the configuration's.
type groups struct{ f *Fake }

// Local implements admin.GroupControl. The fake watches no group.
func (g groups) Local(siskin.ServiceName) (siskin.GroupView, bool) {
	return siskin.GroupView{}, false
}

// View implements admin.GroupControl.
func (g groups) View(_ context.Context, service siskin.ServiceName) (siskin.GroupView, error) {
	s, _ := g.f.View().Service(service)
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	v := siskin.GroupView{Term: 4, RecordTerm: 3, Primary: g.f.primary[service]}
	for _, t := range s.Targets {
		status := siskin.TargetStatus{ID: t.ID, ClaimedTerm: 4, ClaimedBy: "vm-1", StreamTerm: 4, LastTerm: 4, Received: 0x16b3748, Applied: 0x16b3700, HeardPrimary: 12 * time.Millisecond}
		staleness := 12 * time.Millisecond
		if t.ID == v.Primary {
			status.Role, staleness = siskin.RolePrimary, 0
		}
		v.Targets = append(v.Targets, siskin.TargetView{Status: status, Reachable: true, Staleness: staleness})
	}
	if len(v.Targets) > 2 {
		v.Targets[2].Reachable, v.Targets[2].Staleness = false, -1
	}
	return v, nil
}

// Promote implements admin.GroupControl.
func (g groups) Promote(_ context.Context, service siskin.ServiceName, target siskin.TargetID, force bool) error {
	if g.f.Down.Load() && !force {
		return siskin.NewError(siskin.NotRun, "too few targets of %s can be reached", service).WithRemedy("wait for targets, or force the promotion and accept loss")
	}
	g.f.mu.Lock()
	defer g.f.mu.Unlock()
	g.f.primary[service] = target
	return nil
}
