package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
)

// Daemon is what the command line of siskintrayd hands to the function that
// runs a VM.
type Daemon struct {
	Settings *cfgini.Daemon
	Log      *log.Logger
	// Reload receives settings that changed after a hang-up signal and passed
	// all checks.
	Reload <-chan Reload
}

// DaemonMain runs the command line of siskintrayd and returns the exit code. The
// function run runs the VM until ctx ends and then stops it as planned.
func DaemonMain(args []string, stdout, stderr io.Writer, run func(ctx context.Context, d Daemon) error, options ...DaemonOption) int {
	// Until this call a hang-up signal ends the process, so it comes first: one
	// that arrives while the settings are read must not.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var modes daemonModes
	for _, o := range options {
		o(&modes)
	}
	env := &Env{Stdout: stdout, Stderr: stderr}
	var o struct {
		Config   string `long:"config" value-name:"FILE" description:"settings; docs/SETTINGS.md lists them"`
		Protocol string `long:"protocol" choice:"postgres" choice:"session" default:"postgres" description:"protocol of callers and targets"`
		Check    bool   `long:"check" description:"check the settings and exit"`
		Version  bool   `long:"version" description:"show the version and exit"`
		JSON     bool   `long:"json" description:"write JSON"`
	}
	p := flags.NewNamedParser("siskintrayd", flags.HelpFlag)
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		panic(err) // the tags above are wrong
	}
	rest, err := p.ParseArgs(args)
	env.Options.JSON = o.JSON
	switch {
	case err != nil:
		return usage(env, err)
	case len(rest) > 0:
		return fail(env, usageError("unexpected argument %.64q", rest[0]))
	case o.Version:
		_ = daemonVersion().write(env)
		return ExitOK
	case o.Config == "":
		return fail(env, usageError("no settings; name them with --config FILE"))
	}
	settings, system := new(cfgini.Daemon), new(cfgini.System)
	var load any = settings
	var skipped cfgini.Findings
	var opts []cfgini.Option
	if o.Protocol == "session" {
		load = system
		if !o.Check {
			opts = append(opts, cfgini.SkipUnknown(&skipped))
		}
	}
	if err := cfgini.Load(o.Config, load, opts...); err != nil {
		return fail(env, identified(err, load))
	}
	if o.Check {
		_ = Output{Value: struct{ Accepted bool }{true}, Text: o.Config + ": no findings\n"}.write(env)
		return ExitOK
	}
	if o.Protocol == "session" && modes.session != nil {
		return runSession(env, o.Config, System{Settings: system, Skipped: skipped}, modes.session, hangups)
	}
	if run == nil {
		return fail(env, siskin.NewError(siskin.Unsupported, "this build runs no VM").WithRemedy("use --check, or build with the node"))
	}
	return runDaemon(env, o.Config, settings, run, hangups)
}

func runDaemon(env *Env, path string, settings *cfgini.Daemon, run func(context.Context, Daemon) error, hangups <-chan os.Signal) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l := logs.New(settings.Log.Level, settings.Log.Format, env.Stderr)
	reloads := make(chan Reload)
	done := make(chan struct{})
	go func() {
		defer close(done)
		watchHangups(ctx, path, settings, l, hangups, reloads)
	}()
	err := run(ctx, Daemon{Settings: settings, Log: l, Reload: reloads})
	stop()
	<-done
	if err != nil && !errors.Is(err, context.Canceled) {
		return fail(env, err)
	}
	return ExitOK
}

// watchHangups reloads the settings on each hang-up signal until ctx ends.
func watchHangups(ctx context.Context, path string, inForce *cfgini.Daemon, l *log.Logger, hangups <-chan os.Signal, reloads chan<- Reload) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		next, changed, err := cfgini.Reload(path, inForce)
		if err == nil {
			err = offer(ctx, next, reloads)
		}
		if err != nil {
			l.Error().Err(err).Msg("settings were not reloaded")
			continue
		}
		inForce = next
		l.Info().Str("Changed", fmt.Sprint(changed)).Msg("settings reloaded")
	}
}

// offer passes settings to the VM and returns its answer.
func offer(ctx context.Context, next *cfgini.Daemon, reloads chan<- Reload) error {
	result := make(chan error, 1)
	select {
	case reloads <- Reload{next, result}:
	case <-ctx.Done():
		return ctx.Err()
	}
	return <-result
}
