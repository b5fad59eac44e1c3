package cmds

import (
	"context"
	"io"
	"os"

	"golang.org/x/term"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/quest"
	"siskintray.example/siskin/pkg/config"
)

// dialog asks the questionnaire. On a terminal, passwords and keys are not shown
// while they are typed, and an interrupt ends the dialog with the terminal as it
// was.
func dialog(ctx context.Context, in io.Reader, out io.Writer, view config.View) (*quest.Form, *config.Change, error) {
	file, ok := in.(*os.File)
	if !ok || !isTerminal(file) {
		return quest.Ask(in, out, view)
	}
	fd := int(file.Fd())
	state, err := term.GetState(fd)
	if err != nil {
		return nil, nil, siskin.NewError(siskin.Unavailable, "terminal cannot be read").WithCause(err).WithRemedy("read the answers from a file with --answers")
	}
	type result struct {
		form   *quest.Form
		change *config.Change
		err    error
	}
	done := make(chan result, 1)
	go func() {
		form, change, err := quest.Ask(in, out, view, quest.WithSecret(func() (string, error) {
			line, err := term.ReadPassword(fd)
			return string(line), err
		}))
		done <- result{form, change, err}
	}()
	select {
	case r := <-done:
		return r.form, r.change, r.err
	case <-ctx.Done():
		// The reader cannot be woken; it ends with the program.
		_ = term.Restore(fd, state) // the terminal may be gone
		return nil, nil, siskin.NewError(siskin.Unavailable, "dialog was interrupted").WithCause(ctx.Err()).WithRemedy("start again; nothing was written")
	}
}
