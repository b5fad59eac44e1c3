package cmds

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin/internal/build"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
)

// logCloseTimeout limits the wait for the log at the end of a process.
const logCloseTimeout = 200 * time.Millisecond

// System is what the command line of siskintrayd hands to the function that
// runs a VM for the session protocol.
type System struct {
	Settings *cfgini.System
	// Skipped are the names in the settings file that this version does not know.
	Skipped cfgini.Findings
	Log     *log.Logger
}

// DaemonOption adds to what siskintrayd can run.
type DaemonOption func(*daemonModes)

type daemonModes struct {
	session func(ctx context.Context, s System) error
}

// WithSession sets the function that runs a VM for the session protocol.
func WithSession(run func(ctx context.Context, s System) error) DaemonOption {
	return func(m *daemonModes) { m.session = run }
}

// runSession runs a VM for the session protocol. Its log goes to standard
// output.
func runSession(env *Env, path string, s System, run func(context.Context, System) error, hangups <-chan os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := logs.NonBlocking(env.Stdout)
	defer closeLog(out)
	l := logs.New(s.Settings.Log.Level, s.Settings.Log.Format, out)
	s.Log = l
	b := build.Read()
	l.Info().Str("Version", b.Version).Str("Build", b.ID).Str("Go", b.Go).Str("Settings", cfgini.Digest(s.Settings)).Msg("starting")
	logSkipped(l, s.Skipped)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				reloadSession(path, l)
			}
		}
	}()
	err := run(ctx, s)
	stop()
	<-done
	if err != nil && !errors.Is(err, context.Canceled) {
		l.Error().Err(err).Msg("the VM ended with an error")
		return fail(env, err)
	}
	return ExitOK
}

// logSkipped logs the names in a settings file that this version does not know.
func logSkipped(l *log.Logger, skipped cfgini.Findings) {
	for _, f := range skipped {
		l.Warn().Str("File", f.File).Int("Line", f.Line).Str("Remedy", f.Remedy).Msg(f.Message + " is skipped")
	}
}

// closeLog waits until the log is written, for a limited time, since nobody may
// read it.
func closeLog(w *logs.NonBlockingWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	_ = w.Close(ctx) // nobody is left to tell
}

// reloadSession takes over the log level of a changed settings file. All other
// settings need a restart.
func reloadSession(path string, l *log.Logger) {
	next := new(cfgini.System)
	var skipped cfgini.Findings
	if err := cfgini.Load(path, next, cfgini.SkipUnknown(&skipped)); err != nil {
		l.Error().Err(err).Msg("settings were not reloaded")
		return
	}
	logSkipped(l, skipped)
	logs.SetLevel(l, next.Log.Level)
	l.Info().Str("Level", next.Log.Level).Msg("settings reloaded")
}
