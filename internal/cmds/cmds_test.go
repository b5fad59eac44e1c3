package cmds

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/admin/admintest"
	"siskintray.example/siskin/internal/cfgini"
	"siskintray.example/siskin/internal/logs"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"siskintray": func() {
			extra := Spec{"standin clock", "a command of another package", "Example:\n  siskintray standin clock", func() Runner { return new(hook) }}
			os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, extra))
		},
		"siskintrayd": func() {
			os.Exit(DaemonMain(os.Args[1:], os.Stdout, os.Stderr, func(context.Context, Daemon) error {
				return siskin.NewError(siskin.Unavailable, "platform did not answer")
			}, WithSession(func(context.Context, System) error {
				return siskin.NewError(siskin.Unavailable, "store did not answer")
			})))
		},
	})
}

// hook is a command that another package registers.
type hook struct{}

func (*hook) Run(context.Context, *Env) (Output, error) {
	return Output{Text: "hook\n", Value: "hook"}, siskin.NewError(siskin.Internal, "a promise was broken")
}

// TestScripts guards against commands whose output, exit code or files are not
// what the scripts state.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "fakevm": fakeVM},
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Vars = append(env.Vars, "EXAMPLES="+examples)
			env.Values["vm"] = new(vm)
			return err
		},
	})
}

// exits runs a command and checks its exit code: exits CODE COMMAND ARGS...
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := 0
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		code = failed.ExitCode()
	} else {
		ts.Check(err)
	}
	if got, want := strconv.Itoa(code), args[0]; got != want {
		ts.Fatalf("got exit code %s, want %s", got, want)
	}
}

type vm struct {
	fake *admintest.Fake
	lose atomic.Bool
}

// fakeVM starts a VM on loopback, or with "down" or "lose" makes its platform
// fail or its answers to changes get lost.
func fakeVM(ts *testscript.TestScript, _ bool, args []string) {
	v := ts.Value("vm").(*vm)
	switch {
	case len(args) == 0:
		v.fake = admintest.New()
		h := admin.New(v.fake.Backend())
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(w, r)
			if v.lose.Load() && r.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
		}))
		ts.Defer(server.Close)
		ts.Setenv("SISKINTRAY_ADMIN", server.Listener.Addr().String())
	case args[0] == "down":
		v.fake.Down.Store(true)
	case args[0] == "lose":
		v.lose.Store(true)
	}
}

// refusalLog tells of each refused reload. It is read after its writer ended.
type refusalLog struct {
	bytes.Buffer
	refused chan struct{}
}

func (l *refusalLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("settings were not reloaded")) {
		l.refused <- struct{}{}
	}
	return l.Buffer.Write(p)
}

// TestReload guards against a hang-up signal that applies faulty settings, or
// none, and against settings that count as in force although the VM refused
// them.
func TestReload(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "vm.ini")
	write := func(level string) {
		text := "[VM]\nID = vm-1\nDataCentre = a\n[Caller]\nAddress = 127.0.0.1:1\n[Peer]\nAddress = 127.0.0.1:2\nForwardAddress = 127.0.0.1:3\n[Platform]\nAddresses = 127.0.0.1:4\n[Token]\nKeyFile = k\n[Log]\nLevel = " + level + "\n"
		if err := errors.Join(os.WriteFile(path, []byte(text), 0o600), os.WriteFile(filepath.Join(dir, "k"), []byte("k"), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	write("info")
	settings := new(cfgini.Daemon)
	if err := cfgini.Load(path, settings); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	hangups, reloads, done := make(chan os.Signal), make(chan Reload), make(chan struct{})
	b := &refusalLog{refused: make(chan struct{}, 1)}
	go func() {
		defer close(done)
		watchHangups(ctx, path, settings, logs.New("info", "json", b), hangups, reloads)
	}()
	write("loud")
	hangups <- syscall.SIGHUP
	select { // the file must not change before it was read
	case <-b.refused:
	case <-time.After(5 * time.Second):
		t.Fatal("no refusal after the signal")
	}
	write("debug")
	// The VM refuses the first offer, so the change is still one at the next.
	for _, answer := range []error{errors.New("certificate cannot be used"), nil} {
		hangups <- syscall.SIGHUP
		select {
		case next := <-reloads:
			if got, want := next.Settings.Log.Level, "debug"; got != want {
				t.Errorf("got level %s, want %s", got, want)
			}
			next.Result <- answer
		case <-time.After(5 * time.Second):
			t.Fatal("no settings after the signal")
		}
		if answer != nil {
			<-b.refused
		}
	}
	cancel()
	<-done
	if strings.Count(b.String(), "settings were not reloaded") != 2 || strings.Count(b.String(), "[Log.Level]") != 1 {
		t.Errorf("got log %s, want two refusals and the change", b.String())
	}
}
