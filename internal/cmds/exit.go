package cmds

import (
	"errors"

	"siskintray.example/siskin"
)

// Exit codes of the command line. docs/CLI.md lists them for operators.
const (
	ExitOK          = 0
	ExitInternal    = 1 // a fault of the program
	ExitUsage       = 2 // wrong command, option or argument
	ExitRefused     = 3 // input has findings, or names something unknown
	ExitConflict    = 4 // another change won; read again and repeat
	ExitUnavailable = 5 // not run: a VM, target or the platform did not answer
	ExitUnknown     = 6 // a change may have taken effect
	ExitBroken      = 7 // a promise was broken (try, bench)
	ExitPartial     = 8 // in force, but not confirmed by every data centre, or a list with gaps
)

// errUsage marks errors of the command line itself.
var errUsage = errors.New("usage")

type usageErr struct{ error }

func (usageErr) Is(target error) bool { return target == errUsage }

func usageError(format string, args ...any) error {
	return usageErr{siskin.NewError(siskin.BadInput, format, args...).WithRemedy("run siskintray --help")}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	switch siskin.KindOf(err) {
	case siskin.BadInput, siskin.BadToken, siskin.TooLarge, siskin.UnknownRoute, siskin.Unsupported, siskin.KeyRefused, siskin.KeyWithdrawn:
		return ExitRefused
	case siskin.Conflict:
		return ExitConflict
	case siskin.Unavailable, siskin.NotRun, siskin.Overloaded, siskin.RateExceeded:
		return ExitUnavailable
	case siskin.OutcomeUnknown:
		return ExitUnknown
	default:
		return ExitInternal
	}
}
