// Command siskintrayd runs one VM.
package main

import (
	"os"

	"siskintray.example/siskin/internal/cmds"
)

func main() { os.Exit(cmds.DaemonMain(os.Args[1:], os.Stdout, os.Stderr, nil)) }
