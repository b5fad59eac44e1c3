package node

import "time"

const (
	// probesPerSecond bounds the probes of targets by one VM. A probe with its
	// answer takes 158 bytes, so 45 make 7 KB/s. The present size of 9 targets
	// at 200 ms uses all of them.
	probesPerSecond = 45
	// maxInterval keeps a change of primary below its bound of 7 s: the longest
	// write gap measured with an interval of 1 s was 5.62 s.
	maxInterval = time.Second
)

// probeInterval returns the interval between two probes of a target when this
// VM is a watcher of groups with n targets in total.
func probeInterval(minInterval time.Duration, n int) time.Duration {
	if minInterval <= 0 {
		minInterval = defaultInterval
	}
	return min(max(minInterval, time.Duration(n)*time.Second/probesPerSecond), max(minInterval, maxInterval))
}

// defaultInterval is the interval for up to 9 targets.
const defaultInterval = 200 * time.Millisecond
