package group_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
)

var (
	soakTime = flag.Duration("soak", soak.RunDuration(4*time.Second), "duration of the run with random faults")
	soakSeed = flag.Uint64("soakseed", soak.Seed(1), "seed of the faults of that run")
)

// TestSoak guards against faults in the calls and connections, which the
// simulated runs leave out: no acknowledged write may be lost while the test
// targets fail at random, and writes must succeed again afterwards.
func TestSoak(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d", *soakSeed)
	rnd := rand.New(rand.NewPCG(*soakSeed, 1))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w, groups := startWriters(t, ctx, profiles[0], false)
	d := *soakTime
	if testing.Short() {
		d = min(d, time.Second)
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		s := w.servers[rnd.IntN(len(w.servers))]
		injectTargetFault(s, rnd)
		time.Sleep(time.Duration(rnd.IntN(1200)) * time.Millisecond)
		if rnd.IntN(3) > 0 {
			clearFaults(s)
		}
	}
	for _, s := range w.servers {
		clearFaults(s)
	}
	healed := time.Now()
	for w.stillBlocked(healed) && time.Since(healed) < 2*maxGap {
		time.Sleep(50 * time.Millisecond)
	}
	if w.stillBlocked(healed) {
		t.Errorf("no write was acknowledged within %v after the last fault: %+v", 2*maxGap, groups[0].View())
	}
	cancel()
	w.wg.Wait()
	if missing := w.lostWrites(groups[0]); len(missing) > 0 {
		t.Errorf("lost %d of %d acknowledged writes: %v", len(missing), len(w.acked), missing)
	}
	t.Logf("%d writes acknowledged, term %d, failed by kind %v", len(w.acked), groups[0].View().Term, w.failed)
}

func injectTargetFault(s *target.Server, rnd *rand.Rand) {
	switch rnd.IntN(9) {
	case 0:
		s.SetPaused(true)
	case 1:
		s.SetSilent(true)
	case 2, 3:
		s.CutReplication(true)
	case 4:
		s.SetRefuse(true)
		s.CutClients()
	case 5:
		s.SilenceOpen()
	case 6:
		s.Restart()
	case 7:
		s.LoseAnswers([]string{"siskin_claim", "pg_promote", "COMMIT"}[rnd.IntN(3)], 1+rnd.IntN(2))
	default:
		s.SetLag(time.Duration(rnd.IntN(2000))*time.Millisecond, 100*time.Millisecond)
	}
}

func clearFaults(s *target.Server) {
	s.SetFaults(func(f *target.Faults) {
		delay := config.Duration(profiles[0].oneWay)
		*f = target.Faults{AnswerDelay: 2 * delay, LinkDelay: delay}
	})
}
