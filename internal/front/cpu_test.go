package front

import (
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail with these arguments
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
