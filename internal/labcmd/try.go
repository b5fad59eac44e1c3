package labcmd

import (
	"context"
	"strings"
	"time"

	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/trial"
)

const tryHelp = `Runs a platform, three targets of one group and four VMs in two data centres
in this process on loopback. Callers read and write through a PostgreSQL client
library, and the primary fails under load. Exit code 7 says that a promise was
broken.

Examples:
  siskintray try
  siskintray try --seed 7 --json`

// try runs a trial.
type try struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers"`
	Duration time.Duration `long:"duration" default:"10s" description:"length of the load, at most 5m"`
}

// maxTrial bounds a trial.
const maxTrial = 5 * time.Minute

// Run implements cmds.Runner.
func (t *try) Run(ctx context.Context, env *cmds.Env) (cmds.Output, error) {
	o := trial.Defaults()
	o.Seed, o.Duration = t.Seed, min(t.Duration, maxTrial)
	o.Progress = func(text string) { env.Progress("%s", text) }
	r, err := trial.Run(ctx, o)
	if err != nil {
		return cmds.Output{}, err
	}
	var b strings.Builder
	if err := r.WriteText(&b); err != nil {
		return cmds.Output{}, err
	}
	return cmds.Output{Value: r, Text: b.String(), Exit: exitOf(r.OK())}, nil
}

func exitOf(ok bool) int {
	if ok {
		return cmds.ExitOK
	}
	return cmds.ExitBroken
}
