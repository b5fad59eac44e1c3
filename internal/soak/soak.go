// Package soak repeats the randomised run of a test with increasing seeds. Two
// environment variables set the duration and the first seed, because a flag that
// only some packages define makes go test ./... fail in the others:
//
//	SISKIN_SOAK=10m SISKIN_SEED=5 go test ./... -run Soak -timeout 0
//
// SISKIN_SOAK is the time per test, SISKIN_SEED the first seed.
package soak

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Names of the environment variables.
const (
	durationEnv = "SISKIN_SOAK"
	seedEnv     = "SISKIN_SEED"
)

// RunDuration returns the duration of a soak run, or fallback if none is set.
func RunDuration(fallback time.Duration) time.Duration {
	text, ok := os.LookupEnv(durationEnv)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		panic(durationEnv + " must be a positive duration such as 10m, not " + strconv.Quote(text))
	}
	return d
}

// Seed returns the first seed, or fallback if none is set.
func Seed(fallback uint64) uint64 {
	text, ok := os.LookupEnv(seedEnv)
	if !ok {
		return fallback
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(seedEnv + " must be an unsigned 64-bit number, not " + strconv.Quote(text))
	}
	return seed
}

// Each calls run as a subtest with consecutive seeds until the run duration has
// elapsed or a subtest fails. It calls run once if no duration is set.
func Each(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Helper()
	first, start := Seed(1), time.Now()
	n := uint64(0)
	for ok := true; ok && (n == 0 || time.Since(start) < RunDuration(0)); n++ {
		seed := first + n
		ok = t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { run(t, seed) })
	}
	t.Logf("%d seeds from %d in %v", n, first, time.Since(start).Round(time.Millisecond))
}

// Rapid is Each for a test that uses rapid.Check: it sets rapid's seed before
// each run and restores it at the end. The test must not run in parallel with
// others. Seeds start at 1, since rapid chooses a random seed for 0.
func Rapid(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	previous := f.Value.String()
	defer func() { _ = f.Value.Set(previous) }()
	Each(t, func(t *testing.T, seed uint64) {
		if err := f.Value.Set(strconv.FormatUint(max(seed, 1), 10)); err != nil {
			t.Fatal(err)
		}
		run(t)
	})
}
