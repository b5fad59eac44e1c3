// Package cmds implements the commands of the operators' command line and the
// command line of siskintrayd.
package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/jessevdk/go-flags"
	"golang.org/x/term"

	"siskintray.example/siskin"
)

// Main runs the command line and returns the exit code. Commands that other
// packages provide are passed as extra.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, extra ...Spec) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &Env{Stdin: stdin, Stdout: stdout, Stderr: stderr, Terminal: isTerminal(stderr)}
	p := newParser(env, append(builtin(), extra...))
	rest, err := p.ParseArgs(args)
	if p.completed {
		return ExitOK
	}
	if err != nil {
		// The parser stops at the first fault, which may stand before --json.
		env.Options.JSON = slices.Contains(args, "--json")
		return usage(env, err)
	}
	c := p.active()
	if len(rest) > 0 {
		return fail(env, usageError("unexpected argument %.64q", rest[0]))
	}
	out, err := p.runners[c].Run(ctx, env)
	if err == nil || out.Text != "" || out.Value != nil {
		if werr := out.write(env); werr != nil && err == nil {
			err = werr
		}
	}
	if err != nil {
		return fail(env, err)
	}
	return out.Exit
}

// usage reports an error of the parser. A request for help is none.
func usage(env *Env, err error) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		fmt.Fprintln(env.Stdout, fe.Message)
		return ExitOK
	}
	return fail(env, usageError("%s", err))
}

// fail reports an error on standard error, as JSON with --json.
func fail(env *Env, err error) int {
	code := exitCode(err)
	if !env.Options.JSON {
		fmt.Fprintf(env.Stderr, "siskintray: %v\n", err)
		return code
	}
	report := struct {
		Kind, Message, Remedy string
		ExitCode              int
	}{Kind: siskin.KindOf(err).String(), Message: err.Error(), ExitCode: code}
	var e *siskin.Error
	if errors.As(err, &e) {
		bare := *e
		bare.Remedy = ""
		report.Message, report.Remedy = bare.Error(), e.Remedy
	}
	_ = json.NewEncoder(env.Stderr).Encode(report)
	return code
}

// isTerminal reports whether a reader or writer is a terminal.
func isTerminal(stream any) bool {
	f, ok := stream.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}
