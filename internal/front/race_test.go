//go:build race

package front

// raceEnabled says that sync.Pool drops a quarter of what is put back, as it
// does under the race detector, so that allocations cannot be counted.
const raceEnabled = true
