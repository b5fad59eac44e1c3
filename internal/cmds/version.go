package cmds

import (
	"context"
	"errors"
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/build"
	"siskintray.example/siskin/internal/cfgini"
)

// version shows the version.
type version struct{}

// Run implements Runner.
func (*version) Run(context.Context, *Env) (Output, error) {
	b := build.Read()
	v := struct{ Version, Build, Go string }{b.Version, b.ID, b.Go}
	return Output{Value: v, Text: fmt.Sprintf("siskintray %s\n", b)}, nil
}

// daemonVersion returns what siskintrayd --version shows: the build, and which
// settings it reads with each protocol.
func daemonVersion() Output {
	b := build.Read()
	postgres, session := cfgini.Digest(cfgini.Daemon{}), cfgini.Digest(cfgini.System{})
	v := struct{ Version, Build, Go, PostgresSettings, SessionSettings string }{b.Version, b.ID, b.Go, postgres, session}
	return Output{Value: v, Text: fmt.Sprintf("siskintrayd %s\nsettings: postgres %s, session %s\n", b, postgres, session)}
}

// identified adds to the findings in settings which program read them, since files
// and programs of two versions may meet. Other errors are returned as they are.
func identified(err error, settings any) error {
	var findings *siskin.Error
	if !errors.As(err, &findings) || findings.Unwrap() != nil {
		return err // the file could not be read
	}
	named := *findings
	named.Message += fmt.Sprintf("\nread by siskintrayd %s with settings %s", build.Read(), cfgini.Digest(settings))
	return &named
}
