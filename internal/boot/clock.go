// Package boot provides a clock that also counts the time during which the VM
// was suspended. Go's monotonic clock stands still in that time, so an age or a
// lease measured with it would look younger than it is.
package boot

import (
	"time"

	"golang.org/x/sys/unix"

	"siskintray.example/siskin"
)

// Clock is the clock of time since boot. Its times have no meaning outside of
// this VM.
type Clock struct{}

var _ siskin.Clock = Clock{}

// Now returns the time since boot as a time after the epoch.
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
