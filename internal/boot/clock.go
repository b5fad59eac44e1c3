// Package boot provides a clock that also counts the time during which the VM
// was suspended. Go's monotonic clock does not advance during a suspension, so
// the age of data or of a lease measured with it would be too small.
package boot

import (
	"time"

	"golang.org/x/sys/unix"

	"siskintray.example/siskin"
)

// Clock reads CLOCK_BOOTTIME. Its times are only comparable within one boot of
// this VM.
type Clock struct{}

var _ siskin.Clock = Clock{}

// Now returns the time since boot, expressed as an offset from the Unix epoch.
func (Clock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boot: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Since returns the time that has passed since t.
func (c Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Sleep waits for d, not counting suspensions.
func (Clock) Sleep(d time.Duration) { time.Sleep(d) }

// After returns a channel that receives after d, not counting suspensions.
func (Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }
