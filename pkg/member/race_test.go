//go:build race

package member

// raceEnabled says that the race detector runs.
const raceEnabled = true
