package node

import "time"

const (
	// probesPerSecond bounds the probes of targets by one VM. A probe with its
	// answer takes 158 bytes, so 45 make 7 KB/s; 9 targets at 200 ms need them
	// all, which is today's size.
	probesPerSecond = 45
	// maxInterval is the longest interval at which a change of primary stays
	// under its bound of 7 s: with 1 s the longest measured gap was 5.62 s.
	maxInterval = time.Second
)

// probeInterval returns the interval between two probes of each of n targets, those of
// the groups that this VM is a watcher of.
func probeInterval(minInterval time.Duration, n int) time.Duration {
	if minInterval <= 0 {
		minInterval = defaultInterval
	}
	return min(max(minInterval, time.Duration(n)*time.Second/probesPerSecond), max(minInterval, maxInterval))
}

// defaultInterval is the interval at today's size.
const defaultInterval = 200 * time.Millisecond
