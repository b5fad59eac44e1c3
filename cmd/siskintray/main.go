// Command siskintray is the operators' command line.
package main

import (
	"os"

	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/labcmd"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, labcmd.Specs()...))
}
