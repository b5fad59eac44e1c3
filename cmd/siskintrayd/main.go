// Command siskintrayd runs one VM of the proxy.
package main

import (
	"os"

	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/daemon"
	"siskintray.example/siskin/internal/sysd"
)

func main() {
	os.Exit(cmds.DaemonMain(os.Args[1:], os.Stdout, os.Stderr, daemon.Run, cmds.WithSession(sysd.Run)))
}
