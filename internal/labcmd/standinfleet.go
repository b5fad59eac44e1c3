package labcmd

import (
	"context"
	"encoding/json"
	"io"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

const standinFleetHelp = `Runs the platform and all targets of a profile in one process until standard
input ends, and writes their addresses as JSON. "bench footprint" starts it, so
that it measures the VMs without the stand-ins.

Example:
  sleep 60 | siskintray standin fleet --profile hartwell --service windings`

// standinFleet runs the stand-ins of a whole deployment.
type standinFleet struct {
	Profile  string   `long:"profile" default:"syntyma" description:"sizes and delays: syntyma or hartwell"`
	Services []string `long:"service" value-name:"NAME" description:"service, repeated for several; those of the profile by default"`
}

// Run implements cmds.Runner.
func (s *standinFleet) Run(ctx context.Context, env *cmds.Env) (cmds.Output, error) {
	p, err := load.ProfileByName(s.Profile)
	if err != nil {
		return cmds.Output{}, err
	}
	if len(s.Services) > 0 {
		p.Services = nil
		for _, name := range s.Services {
			p.Services = append(p.Services, siskin.ServiceName(name))
		}
	}
	standins, err := fleet.StartStandins(p, true)
	if err != nil {
		return cmds.Output{}, err
	}
	if err := json.NewEncoder(env.Stdout).Encode(standins.Addresses()); err != nil {
		return cmds.Output{}, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, env.Stdin) // an error ends the run like the end of the input
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return cmds.Output{Text: ""}, standins.Close()
}
