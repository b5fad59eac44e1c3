package trial

import (
	"time"

	"siskintray.example/siskin/internal/load"
)

// Options set up a trial.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Profile  load.Profile
	// Progress is told of each step; nil means nobody.
	Progress func(text string)
}

// Defaults returns the options of "siskintray try": one service of the Syntymä
// profile in two data centres.
func Defaults() Options {
	p := load.Syntyma()
	p.Services = p.Services[:1]
	p.DataCentres = p.DataCentres[:2]
	p.VMs = 4
	return Options{Seed: 1, Duration: 10 * time.Second, Profile: p}
}
