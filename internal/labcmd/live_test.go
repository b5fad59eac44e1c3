package labcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

// TestBenchRunningVMs guards against experiments that cannot reach running VMs
// with nothing but their addresses and a key, against a failover that reports a
// gap although the primary did not change, and against experiments that start a
// deployment of their own when they cannot measure running VMs.
func TestBenchRunningVMs(t *testing.T) {
	p := load.Syntyma()
	p.VMs, p.Services = 2, p.Services[:1]
	p.OneWay, p.ClientOneWay = 0, 0
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, p)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	customer := p.Customers[0].ID
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte(f.Keys[customer]+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	running := []string{"--service", string(p.Services[0]), "--key-file", string(customer) + "=" + key, "--duration", "300ms"}
	for _, vm := range f.VMs {
		running = append(running, "--caller", vm.CallerAddress(), "--vm-admin", vm.AdminAddress())
	}
	for _, c := range []struct {
		name, want string
		exit       int
	}{
		{"overhead", ", p99", cmds.ExitOK},
		{"replicas", "reads from replicas", cmds.ExitOK},
		{"failover", "did not change", cmds.ExitUnavailable},
		{"fairness", "two customers", cmds.ExitRefused},
		{"silence", "leave out --caller", cmds.ExitRefused},
	} {
		var out bytes.Buffer
		exit := cmds.Main(append([]string{"bench", c.name}, running...), strings.NewReader(""), &out, &out, Specs()...)
		if exit != c.exit || !strings.Contains(out.String(), c.want) {
			t.Errorf("bench %s: got exit code %d, want %d and %q in: %s", c.name, exit, c.exit, c.want, out.String())
		}
	}
}
