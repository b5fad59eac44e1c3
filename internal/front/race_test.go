//go:build race

package front

// raceEnabled reports that the race detector is on. It makes sync.Pool drop a
// quarter of the objects, so that allocations cannot be counted.
const raceEnabled = true
