package fleet

import (
	"errors"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

// Standins are the platform and the groups of targets of a deployment.
type Standins struct {
	Platform *objapi.Server
	Groups   map[siskin.ServiceName][]*target.Server
}

// StartStandins runs the stand-ins of a profile in this process. With admin,
// each target listens on an admin address too.
func StartStandins(p load.Profile, admin bool) (s *Standins, err error) {
	s = &Standins{Groups: make(map[siskin.ServiceName][]*target.Server)}
	if s.Platform, err = objapi.Start(objapi.Config{}); err != nil {
		return nil, err
	}
	for _, service := range p.Services {
		s.Groups[service], err = target.StartGroup(string(service), p.TargetsPerService, func(c *target.Config) {
			cred := credentials(service)
			c.User, c.Password, c.ReadUser, c.ReadPassword = cred.User, cred.Password, cred.ReadUser, cred.ReadPassword
			c.Database = cred.Database
			c.Slots, c.ConnectionsPerSlot = p.Slots, p.ConnectionsPerSlot
			c.OpenTime = config.Duration(p.OpenTime)
			c.LinkDelay = config.Duration(p.OneWay)
			c.RecordReceived = true
			if admin {
				c.AdminAddress = loopback
			}
		})
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	return s, nil
}

// Addresses returns where the stand-ins listen.
func (s *Standins) Addresses() *Addresses {
	a := &Addresses{
		Platform:      s.Platform.Address(),
		PlatformAdmin: s.Platform.AdminAddress(),
		Targets:       make(map[siskin.ServiceName][]TargetAddress),
	}
	for service, group := range s.Groups {
		for _, t := range group {
			a.Targets[service] = append(a.Targets[service], TargetAddress{ID: t.ID(), Address: t.Address(), Admin: t.AdminAddress()})
		}
	}
	return a
}

// Close ends the stand-ins.
func (s *Standins) Close() error {
	var errs []error
	for _, group := range s.Groups {
		errs = append(errs, target.CloseAll(group))
	}
	return errors.Join(append(errs, s.Platform.Close())...)
}
