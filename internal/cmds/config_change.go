package cmds

import (
	"context"
	"fmt"

	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/quest"
	"siskintray.example/siskin/pkg/config"
)

const (
	generateHelp = `Makes one change out of answers files and checks it as a whole. Customers that
several files name are merged.

Examples:
  siskintray config generate examples/syntyma/*.ini --offline --output change.json
  siskintray config generate ledger-a.ini --output change.json`

	checkHelp = `Checks a change against the configuration in force, or against an export.

Examples:
  siskintray config check change.json
  siskintray config check change.json --base export.json`

	diffHelp = `Shows what a change does. Passwords and digests of keys are hidden.

Examples:
  siskintray config diff change.json
  siskintray config diff change.json --json`

	applyHelp = `Applies a change as a whole: every finding is reported and nothing is applied
when there is one. Exit code 4 means that another change won; read the
configuration again and repeat. Exit code 6 means that the answer was lost; look
at "config status" first.

Example:
  siskintray config apply change.json`

	exportHelp = `Writes all documents in the form of a change. The output holds the passwords of
the services' accounts; with --output only its owner can read the file.

Example:
  siskintray config export --output export.json`
)

// configGenerate makes a change out of answers.
type configGenerate struct {
	base
	Output string `long:"output" value-name:"FILE" description:"write the change to this new file"`
	Args   struct {
		Answers []string `positional-arg-name:"ANSWERS" required:"1"`
	} `positional-args:"yes"`
}

// Run implements Runner.
func (c *configGenerate) Run(ctx context.Context, env *Env) (Output, error) {
	var forms []*quest.Form
	for _, path := range c.Args.Answers {
		form, err := readAnswers(path)
		if err != nil {
			return Output{}, err
		}
		forms = append(forms, form)
	}
	view, err := c.view(ctx, env)
	if err != nil {
		return Output{}, err
	}
	change, found := quest.Generate(view, forms...)
	if err := found.Err(); err != nil {
		return Output{}, err
	}
	data, err := changeText(change)
	if err != nil {
		return Output{}, err
	}
	if c.Output == "" {
		return Output{Value: change, Text: string(data)}, nil
	}
	return Output{Value: change, Text: fmt.Sprintf("%s: %d services, %d customers, based on revision %d\n", c.Output, len(change.Services), len(change.Customers), change.Base)}, writeFile(c.Output, data)
}

// changeArg is the argument of commands that take a change.
type changeArg struct {
	Args struct {
		Change string `positional-arg-name:"CHANGE" required:"yes"`
	} `positional-args:"yes"`
}

func (a *changeArg) read() ([]byte, *config.Change, error) {
	data, err := readFile(a.Args.Change)
	if err != nil {
		return nil, nil, err
	}
	change, err := config.DecodeChange(data)
	return data, change, err
}

// configCheck checks a change.
type configCheck struct {
	base
	changeArg
}

// Run implements Runner.
func (c *configCheck) Run(ctx context.Context, env *Env) (Output, error) {
	data, change, err := c.read()
	if err != nil {
		return Output{}, err
	}
	result := admin.CheckResult{Base: change.Base, Accepted: true}
	if c.local() {
		view, err := c.view(ctx, env)
		if err != nil {
			return Output{}, err
		}
		if err := config.Validate(view, change).Err(); err != nil {
			return Output{}, err
		}
		result.InForce = view.Revision()
	} else if err := env.post(ctx, "/config/check", data, &result); err != nil {
		return Output{}, err
	}
	return Output{Value: result, Text: fmt.Sprintf("accepted: no findings; based on revision %d, revision %d is in force\n", result.Base, result.InForce)}, nil
}

// configDiff shows what a change does.
type configDiff struct {
	base
	changeArg
}

// Run implements Runner.
func (c *configDiff) Run(ctx context.Context, env *Env) (Output, error) {
	data, change, err := c.read()
	if err != nil {
		return Output{}, err
	}
	diff := new(config.Difference)
	if c.local() {
		view, err := c.view(ctx, env)
		if err != nil {
			return Output{}, err
		}
		if err := config.Validate(view, change).Err(); err != nil {
			return Output{}, err
		}
		diff = config.Diff(view, config.NewOverlay(view, change))
	} else if err := env.post(ctx, "/config/diff", data, diff); err != nil {
		return Output{}, err
	}
	return Output{Value: diff, Text: diff.Text()}, nil
}

// configApply applies a change.
type configApply struct{ changeArg }

// Run implements Runner.
func (c *configApply) Run(ctx context.Context, env *Env) (Output, error) {
	data, _, err := c.read()
	if err != nil {
		return Output{}, err
	}
	env.Progress("applying the change through %s", env.Options.Admin)
	var result admin.ApplyResult
	if err := env.post(ctx, "/config/apply", data, &result); err != nil {
		return Output{}, err
	}
	return Output{Value: result, Text: fmt.Sprintf("revision %d is accepted; see siskintray config status\n", result.Revision)}, nil
}
