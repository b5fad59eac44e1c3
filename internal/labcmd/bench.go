package labcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"strings"
	"time"

	experiments "siskintray.example/siskin/internal/bench"
	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/load"
)

func benchHelp() string {
	var b strings.Builder
	b.WriteString("Runs an experiment with the sizes and delays of a profile. Exit code 7 says that\na promise was broken. With --caller it measures VMs that run already; docs/CLI.md\nlists what it needs.\n\nExperiments:\n")
	for _, x := range experiments.Experiments() {
		fmt.Fprintf(&b, "  %-12s %s\n", x.Name, x.Summary)
	}
	b.WriteString("\nExamples:\n  siskintray bench failover --profile syntyma --seed 3\n  siskintray bench limits --profile hartwell --json-file limits.json --plot limits.svg\n  siskintray bench limits --caller 10.0.0.1:6432 --caller 10.0.0.2:6432 --vm-admin 10.0.0.1:6480 \\\n    --service ledger-a --read-route status --write-route orders --key-file shop=shop.key")
	return b.String()
}

// bench runs one experiment.
type bench struct {
	Profile  string        `long:"profile" default:"syntyma" description:"sizes and delays: syntyma or hartwell"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the callers"`
	Duration time.Duration `long:"duration" description:"length of one phase of load, at most 5m; the experiment's own by default"`
	JSONFile string        `long:"json-file" value-name:"FILE" description:"also write the result as JSON"`
	Plot     string        `long:"plot" value-name:"FILE" description:"also write a plot as SVG"`
	CPU      string        `long:"cpu-profile" value-name:"FILE" description:"also write a profile of this process's processor time, for go tool pprof"`
	Live     live          `group:"Running VMs"`
	Args     struct {
		Name string `positional-arg-name:"experiment"`
	} `positional-args:"yes" required:"yes"`
}

// Run implements cmds.Runner.
func (b *bench) Run(ctx context.Context, env *cmds.Env) (cmds.Output, error) {
	x, err := experiments.Find(b.Args.Name)
	if err != nil {
		return cmds.Output{}, err
	}
	profile, err := load.ProfileByName(b.Profile)
	if err != nil {
		return cmds.Output{}, err
	}
	running, err := b.Live.options(env)
	if err != nil {
		return cmds.Output{}, err
	}
	stop, err := b.startProfile()
	if err != nil {
		return cmds.Output{}, err
	}
	defer stop()
	r, err := x.Run(ctx, experiments.Options{
		Profile:  profile,
		Live:     running,
		Seed:     b.Seed,
		Duration: min(b.Duration, maxTrial),
		Progress: func(text string) { env.Progress("%s", text) },
	})
	if err != nil {
		return cmds.Output{}, err
	}
	if err := b.writeFiles(r); err != nil {
		return cmds.Output{}, err
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return cmds.Output{}, err
	}
	return cmds.Output{Value: r, Text: text.String(), Exit: exitOf(r.OK())}, nil
}

// startProfile begins the profile of the processor time, if one was asked for.
func (b *bench) startProfile() (stop func(), err error) {
	if b.CPU == "" {
		return func() {}, nil
	}
	f, err := os.Create(b.CPU)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close() // pprof reports a profile that was cut off
	}, nil
}

func (b *bench) writeFiles(r *experiments.Result) error {
	if b.JSONFile != "" {
		err := writeFile(b.JSONFile, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(r)
		})
		if err != nil {
			return err
		}
	}
	if b.Plot != "" {
		return writeFile(b.Plot, r.WritePlot)
	}
	return nil
}

func writeFile(path string, write func(w io.Writer) error) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return write(f)
}
