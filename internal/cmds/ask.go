package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"siskintray.example/siskin/internal/quest"
	"siskintray.example/siskin/pkg/config"
)

const askHelp = `Asks the questions about one service and its customers, or reads the answers
from a file, and checks them as a whole. Without --base, names and addresses are
not compared with those of other services; "config check" does that.

Examples:
  siskintray ask --output ledger-a.ini
  siskintray ask --answers ledger-a.ini
  siskintray ask --answers ledger-a.ini --change ledger-a.json`

// ask asks the questionnaire.
type ask struct {
	Answers string `long:"answers" value-name:"FILE" description:"read the answers instead of asking"`
	Output  string `long:"output" value-name:"FILE" description:"write the answers to this new file"`
	Change  string `long:"change" value-name:"FILE" description:"write the change to this new file"`
	Base    string `long:"base" value-name:"FILE" description:"check against this export"`
}

// Run implements Runner.
func (a *ask) Run(ctx context.Context, env *Env) (Output, error) {
	b := base{Base: a.Base, Offline: a.Base == ""}
	view, err := b.view(ctx, env)
	if err != nil {
		return Output{}, err
	}
	form, change, err := a.answers(ctx, env, view)
	if err != nil {
		return Output{}, err
	}
	if err := a.write(form, change); err != nil {
		return Output{}, err
	}
	diff := config.Diff(view, config.NewOverlay(view, change))
	out := Output{Value: struct {
		Answers string
		Change  *config.Change
	}{string(form.INI()), change}, Text: diff.Text()}
	if a.Answers == "" {
		out.Text = "\n" + out.Text
	}
	if a.Answers == "" && a.Output == "" {
		shown := form.INI()
		if isTerminal(env.Stdout) {
			shown = append(form.Shown(), "\n# Secrets are hidden on a terminal; keep all answers with --output FILE.\n"...)
		}
		out.Text += "\n" + string(shown)
	}
	return out, nil
}

func (a *ask) answers(ctx context.Context, env *Env, view config.View) (*quest.Form, *config.Change, error) {
	if a.Answers == "" {
		// With --json the dialog must not mix with the result.
		w := env.Stdout
		if env.Options.JSON {
			w = env.Stderr
		}
		return dialog(ctx, env.Stdin, w, view)
	}
	form, err := readAnswers(a.Answers)
	if err != nil {
		return nil, nil, err
	}
	change, found := quest.Generate(view, form)
	return form, change, found.Err()
}

func (a *ask) write(form *quest.Form, change *config.Change) error {
	if a.Output != "" {
		if err := writeFile(a.Output, form.INI()); err != nil {
			return err
		}
	}
	if a.Change == "" {
		return nil
	}
	data, err := changeText(change)
	if err != nil {
		return err
	}
	return writeFile(a.Change, data)
}

func readAnswers(path string) (*quest.Form, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	form, found := quest.Read(path, data)
	return form, found.Err()
}

// changeText returns a change as indented JSON. Its compact form is what the
// bound applies to.
func changeText(c *config.Change) ([]byte, error) {
	if _, err := config.EncodeChange(c); err != nil {
		return nil, err
	}
	data, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return append(data, '\n'), nil
}
