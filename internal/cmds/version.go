package cmds

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
)

// version shows the version.
type version struct{}

// Run implements Runner.
func (*version) Run(context.Context, *Env) (Output, error) {
	v := struct{ Version, Go string }{Version(), runtime.Version()}
	return Output{Value: v, Text: fmt.Sprintf("siskintray %s (%s)\n", v.Version, v.Go)}, nil
}

// Version returns the version that the program was built from.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return "devel"
}
