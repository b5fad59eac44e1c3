package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

// TestSoak guards against breaches that only callers can see while primaries
// fail and change: a session that misses its own write or one whose token it
// shows, an acknowledged write that is lost, a write that ran although it was
// refused as not run, one that ran twice, and a write to a replaced primary
// that takes effect after a newer one.
func TestSoak(t *testing.T) {
	soak.Each(t, func(t *testing.T, seed uint64) {
		length := min(soak.RunDuration(3*time.Second), 10*time.Second)
		if testing.Short() {
			length = min(length, time.Second)
		}
		soakFleet(t, seed, length)
	})
}

func soakFleet(t *testing.T, seed uint64, length time.Duration) {
	broken := CollectViolations()
	defer broken.Restore()
	p := load.Syntyma()
	p.Services, p.VMs = p.Services[:1], 4
	for i := range p.Customers {
		p.Customers[i].Rate, p.Customers[i].Burst = 1000, 1000
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	f, err := Start(ctx, p)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	const sessions = 12
	h := newHistory()
	running, stop := context.WithCancel(t.Context())
	defer stop()
	var done sync.WaitGroup
	for i := range sessions {
		s := &session{f: f, h: h, rng: rand.New(rand.NewPCG(seed, uint64(i+1))), number: i, all: sessions, vms: f.Addresses()}
		done.Go(func() { s.run(running) })
	}
	group := f.Groups[p.Services[0]]
	if err := disturb(f, group, rand.New(rand.NewPCG(seed, 0)), length); err != nil {
		t.Fatal(err)
	}
	stop()
	done.Wait()
	last := &session{f: f, h: h, rng: rand.New(rand.NewPCG(seed, 100)), number: sessions, vms: f.Addresses()}
	defer last.leave()
	for begun := time.Now(); last.acked == 0; {
		if time.Since(begun) > 14*time.Second {
			t.Fatalf("seed %d: no write was acknowledged within 14 s after the last fault; %s%s", seed, h, describe(group))
		}
		last.write()
	}
	primary := target.Primary(group)
	for _, text := range append(h.check(primary.Store().Records()), broken.List()...) {
		t.Errorf("seed %d: %s", seed, text)
	}
	t.Logf("seed %d: %s, term %d", seed, h, primary.Store().Status(time.Now()).StreamTerm)
}

// disturb breaks and heals targets, mostly the primary, their links to VMs, and
// the platform, and restarts VMs.
func disturb(f *Fleet, group []*target.Server, rng *rand.Rand, length time.Duration) error {
	healLinks := func() {
		f.Platform.Refuse(false)
		for _, vm := range f.VMs {
			for _, s := range group {
				f.Net.Heal(string(vm.ID()), string(s.ID()))
			}
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		s, vm := group[rng.IntN(len(group))], f.VMs[rng.IntN(len(f.VMs))]
		if primary := target.Primary(group); primary != nil && rng.IntN(3) > 0 {
			s = primary
		}
		switch rng.IntN(10) {
		case 0:
			vm.Kill()
			time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
			if err := vm.Start(); err != nil {
				return err
			}
		case 1:
			f.Net.Cut(string(vm.ID()), string(s.ID()))
		case 2:
			f.Platform.Refuse(true)
		default:
			breakTarget(s, rng)
		}
		time.Sleep(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		if rng.IntN(3) > 0 {
			heal(s, &f.Profile)
			healLinks()
		}
	}
	healLinks()
	for _, s := range group {
		heal(s, &f.Profile)
	}
	return nil
}

func breakTarget(s *target.Server, rng *rand.Rand) {
	switch rng.IntN(7) {
	case 0:
		s.SetPaused(true)
	case 1:
		s.SetSilent(true)
	case 2:
		s.CutReplication(true)
	case 3:
		s.SetRefuse(true)
		s.CutClients()
	case 4:
		s.Restart()
	case 5:
		s.LoseAnswers([]string{"siskin_claim", "pg_promote", "COMMIT"}[rng.IntN(3)], 1+rng.IntN(2))
	default:
		s.SetLag(time.Duration(rng.IntN(500))*time.Millisecond, time.Duration(rng.IntN(500))*time.Millisecond)
	}
}

// heal ends the faults of a target.
func heal(s *target.Server, p *load.Profile) {
	s.SetFaults(func(f *target.Faults) { *f = target.Faults{LinkDelay: config.Duration(p.OneWay)} })
}

// describe returns the state of the targets.
func describe(group []*target.Server) string {
	var b strings.Builder
	for _, s := range group {
		fmt.Fprintf(&b, "\n%+v", s.Store().Status(time.Now()))
	}
	return b.String()
}
