//go:build !race

package front

const raceEnabled = false
