package sysd

import (
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// TestLargeFleetIsQuiet guards against control traffic between the VMs whose
// CPU time grows with the size of the fleet. It needs a machine without other
// load, so it is run by hand: SISKIN_VMS=60 go test -run LargeFleet.
func TestLargeFleetIsQuiet(t *testing.T) {
	n, err := strconv.Atoi(os.Getenv("SISKIN_VMS"))
	if err != nil {
		t.Skip("SISKIN_VMS is not set")
	}
	f := startFleet(t, n)
	time.Sleep(2 * time.Second)
	before := cpuTime(t)
	const span = 10 * time.Second
	time.Sleep(span)
	got := (cpuTime(t) - before).Seconds() / span.Seconds() / float64(len(f.nodes))
	t.Logf("CPU share of a VM without callers: %.4f", got)
	// The users allow 4.7% of a core for control.
	if got > 0.047 {
		t.Errorf("CPU share of a VM without callers: got %.4f, want at most 0.047", got)
	}
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
