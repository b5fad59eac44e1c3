package daemon

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/cfgini"
)

// settingsEnv is the environment variable with the settings of a VM that runs in
// a separate process.
const settingsEnv = "SISKIN_TEST_VM"

// TestMain runs a VM instead of the tests if settingsEnv is set.
func TestMain(m *testing.M) {
	text, ok := os.LookupEnv(settingsEnv)
	if !ok {
		os.Exit(m.Run())
	}
	settings := new(cfgini.Daemon)
	if err := json.Unmarshal([]byte(text), settings); err != nil {
		panic(err)
	}
	d, err := Start(settings, WithLog(&log.Logger{Level: log.WarnLevel, Writer: log.IOWriter{Writer: os.Stderr}}))
	if err != nil {
		panic(err)
	}
	_ = json.NewEncoder(os.Stdout).Encode(vmProcess{VM: d.VM(), Caller: d.CallerAddress()})
	_, _ = io.ReadAll(os.Stdin) // returns when the test ends
	d.Kill()
}

// vmProcess is a VM in a separate process.
type vmProcess struct {
	VM     siskin.VM
	Caller string
	cmd    *exec.Cmd
}

func startProcess(t *testing.T, settings *cfgini.Daemon) *vmProcess {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+string(text))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &vmProcess{cmd: cmd}
	t.Cleanup(func() {
		p.signal(t, syscall.SIGCONT)
		_ = stdin.Close()
		timer := time.AfterFunc(10*time.Second, func() { _ = cmd.Process.Kill() })
		defer timer.Stop()
		if err := cmd.Wait(); err != nil {
			t.Errorf("VM process: %v", err)
		}
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, p)
	}
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *vmProcess) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Error(err)
	}
}
