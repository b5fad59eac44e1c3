package group_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
)

var gapRuns = flag.Int("gapruns", 1, "runs of each failover scenario and profile")

// maxGap is the limit of the write gap, the time without acknowledged writes
// around a fault.
const maxGap = 7 * time.Second

// profile is the network delay between data centres and the time to open a
// connection.
type profile struct {
	name     string
	oneWay   time.Duration
	openTime time.Duration
}

var profiles = []profile{{"Syntyma", 1500 * time.Microsecond, 10 * time.Millisecond}, {"Hartwell", 500 * time.Microsecond, 30 * time.Millisecond}}

// scenarios make the primary, which is servers[0], or the connections to it
// fail.
var scenarios = []struct {
	name       string
	equalRanks bool // all VMs have rank 0
	fault      func(s []*target.Server)
}{
	{"PrimaryKilled", false, func(s []*target.Server) { s[0].Close() }},
	{"PrimarySilent", false, func(s []*target.Server) { s[0].SetPaused(true) }},
	{"CutOffFromReplicas", false, func(s []*target.Server) { s[0].CutReplication(true) }},
	{"CutOffFromVMs", false, func(s []*target.Server) { s[0].SetRefuse(true); s[0].CutClients() }},
	{"SilentToVMs", false, func(s []*target.Server) { s[0].SetSilent(true) }},
	{"VMsRace", true, func(s []*target.Server) { s[0].Close() }},
	{"ClaimAnswersLost", false, func(s []*target.Server) {
		s[1].LoseAnswers("siskin_claim", 1)
		s[2].LoseAnswers("siskin_claim", 1)
		s[0].Close()
	}},
	{"PromoteAnswerLost", false, func(s []*target.Server) {
		s[1].LoseAnswers("pg_promote", 1)
		s[2].LoseAnswers("pg_promote", 1)
		s[0].Close()
	}},
}

// startWriters starts targets and two VMs with two writers each.
func startWriters(t *testing.T, ctx context.Context, p profile, equalRanks bool) (*writers, []*group.Group) {
	w := &writers{t: t, acked: make(map[string]time.Time), failed: make(map[siskin.ErrorKind]int)}
	w.servers = startTargets(t, 3, func(c *target.Config) {
		c.OpenTime, c.LinkDelay, c.AnswerDelay = config.Duration(p.openTime), config.Duration(p.oneWay), config.Duration(2*p.oneWay)
	})
	var groups []*group.Group
	for vm := range 2 {
		g := startGroup(t, w.servers, siskin.VMID(fmt.Sprintf("vm-%d", vm)), group.WithRank(func() int {
			if equalRanks {
				return 0
			}
			return vm
		}))
		groups = append(groups, g)
		for i := range 2 {
			w.wg.Add(1)
			go w.writeUntilDone(ctx, fmt.Sprintf("%d-%d", vm, i), g)
		}
	}
	return w, groups
}

// TestWriteGap guards against a failover that loses an acknowledged write or
// takes longer than maxGap.
func TestWriteGap(t *testing.T) {
	for _, p := range profiles {
		for _, sc := range scenarios {
			t.Run(p.name+"/"+sc.name, func(t *testing.T) {
				if testing.Short() && p.name != "Syntyma" {
					t.Skip("one profile is enough in short mode")
				}
				if *gapRuns == 1 {
					t.Parallel() // runs for a measurement must not affect each other
				}
				var gaps []time.Duration
				for range *gapRuns {
					ctx, cancel := context.WithCancel(t.Context())
					w, groups := startWriters(t, ctx, p, sc.equalRanks)
					time.Sleep(500 * time.Millisecond)
					fault := time.Now()
					sc.fault(w.servers)
					for w.stillBlocked(fault) && time.Since(fault) < 2*maxGap {
						time.Sleep(20 * time.Millisecond)
					}
					time.Sleep(300 * time.Millisecond)
					cancel()
					w.wg.Wait()
					gap := w.gap(fault)
					gaps = append(gaps, gap)
					if missing := w.lostWrites(groups[0]); len(missing) > 0 {
						t.Errorf("lost %d of %d acknowledged writes: %v", len(missing), len(w.acked), missing)
					}
					if gap > maxGap || w.stillBlocked(fault) {
						t.Errorf("got a gap of %v, want less than %v", gap, maxGap)
					}
					for _, g := range groups {
						g.Close()
					}
					target.CloseAll(w.servers)
				}
				slices.Sort(gaps)
				t.Logf("gap of %d runs: median %v, largest %v", len(gaps), gaps[len(gaps)/2].Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond))
			})
		}
	}
}
