package labcmd

import (
	"context"
	"os"
	"testing"
	"time"

	"siskintray.example/siskin/internal/cmds"
	"siskintray.example/siskin/internal/fleet"
	"siskintray.example/siskin/internal/load"
)

// TestMain runs the command line or callers when a test starts the test binary
// again.
func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "standin" {
		os.Exit(cmds.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, Specs()...))
	}
	if len(os.Args) > 1 && os.Args[1] == "callers" {
		os.Exit(runCallers())
	}
	os.Exit(m.Run())
}

// TestRemoteStandins guards against a footprint that counts the stand-ins as
// VMs: the fleet must reach those of another process, and the process must end
// with its owner.
func TestRemoteStandins(t *testing.T) {
	p := load.Syntyma()
	p.VMs, p.Services = 2, p.Services[:1]
	r, err := fleet.StartRemote(p)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	f, err := fleet.Start(ctx, p, fleet.WithRemote(r))
	if err != nil {
		t.Fatal(err)
	}
	if f.Platform != nil || len(f.Groups) != 0 {
		t.Error("got stand-ins in this process, want none")
	}
	if n, err := r.Statements(); err != nil || n == 0 {
		t.Errorf("statements at the targets: got %d, %v, want some", n, err)
	}
	if n, err := r.PlatformCalls(); err != nil || n == 0 {
		t.Errorf("calls of the platform: got %d, %v, want some", n, err)
	}
	f.Close()
	if err := r.Close(); err != nil {
		t.Errorf("end of the process: got %v, want success", err)
	}
}
