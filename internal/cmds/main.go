// Package cmds implements the commands of the operators' command line.
package cmds

import (
	"fmt"
	"io"
)

// Exit codes of the command line.
const (
	ExitOK    = 0
	ExitUsage = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string, _ io.Reader, _, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprintln(stderr, "siskintray: no command given; run siskintray --help")
		return ExitUsage
	}
	return ExitOK
}
