package limit

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

type scenario struct {
	fault       string
	load, bound float64
	length      time.Duration
	seed        uint64
}

// TestFaults guards against admissions above rate x time + burst and against
// created units under each kind of fault. It measures the rejected requests
// within the rate and compares them with a static division and a shared
// counter.
func TestFaults(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "faults.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(archive.Files[0].Data)) {
		var s scenario
		var length string
		if _, err := fmt.Sscanf(line, "fault=%s load=%f length=%s seed=%d bound=%f", &s.fault, &s.load, &length, &s.seed, &s.bound); err != nil {
			t.Fatal(err)
		}
		if s.length, err = time.ParseDuration(length); err != nil {
			t.Fatal(err)
		}
		if testing.Short() {
			s.length /= 6
		}
		t.Run(strings.ReplaceAll(strings.TrimSpace(line), " ", ","), func(t *testing.T) {
			t.Parallel()
			s.run(t)
		})
	}
}

func (s *scenario) run(t *testing.T) {
	docs := []*config.Customer{
		{ID: "shop", Rate: 2000, Burst: 2000},
		{ID: "press", Rate: 500, Burst: 500},
		{ID: "portal", Rate: 100, Burst: 200},
		{ID: "accounts", Rate: 20, Burst: 40},
	}
	f := newFleet(s.seed, docs...)
	for i := range 8 {
		f.start(fmt.Sprint("vm-", i), 1, fmt.Sprint("dc-", i%4))
	}
	var flows []*traffic
	for i, doc := range docs {
		flows = append(flows, newTraffic(f, doc, s.load, s.seed*10+uint64(i)))
	}
	for ms := range int(s.length / time.Millisecond) {
		if ms%1000 == 0 {
			s.inject(f, ms/1000)
			for _, tr := range flows {
				tr.shiftDemand()
			}
		}
		f.step()
		for _, tr := range flows {
			tr.step()
			if ms%10 == 0 {
				f.sum(tr.doc.ID)
			}
		}
	}
	s.checkResults(t, f, flows)
}

func (s *scenario) checkResults(t *testing.T, f *fleet, flows []*traffic) {
	var offered, refused, waited, late, counted, static, shared int
	for _, tr := range flows {
		offered, refused = offered+tr.offered, refused+tr.refused
		waited, late, counted = waited+tr.waited, late+tr.late, counted+tr.counted
		static, shared = static+tr.refusedByStatic, shared+tr.refusedByShared
		if got, want := tr.checker.worst, float64(tr.doc.Burst)+1e-6; got > want {
			t.Errorf("%s: got a window with %.3f above rate x time, want at most %.0f", tr.doc.ID, got, want)
		}
		t.Logf("%s: refused %.3f%% of %d, counted as within rate %.3f%%", tr.doc.ID, 100*float64(tr.refused)/float64(tr.offered), tr.offered, 100*float64(tr.counted)/float64(tr.offered))
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(offered) }
	perNode := func(n int) float64 { return float64(n) / s.length.Seconds() / float64(len(f.vms)) }
	t.Logf("refused within rate: %.3f%%, counted as such %.3f%%, waited for units %.3f%%, refused after more than 10 ms %.3f%%, static division %.2f%%, shared counter %.2f%%; exchange per VM %.1f messages/s, %.0f B/s",
		percent(refused), percent(counted), percent(waited), percent(late), percent(static), percent(shared), perNode(f.sent), perNode(f.bytes))
	if got := percent(refused); got > s.bound {
		t.Errorf("got %.3f%% refused within rate, want at most %.1f%%", got, s.bound)
	}
	if got, want := perNode(f.bytes), 7000.0; got > want {
		t.Errorf("got %.0f B/s of exchange per VM, want at most %.0f", got, want)
	}
}

// inject changes the fault at the start of each second.
func (s *scenario) inject(f *fleet, second int) {
	one := f.vms[f.rng.IntN(len(f.vms))]
	two := f.vms[f.rng.IntN(len(f.vms))]
	kind := s.fault
	if kind == "all" {
		kind = []string{"pause", "link", "datacentre", "lost", "death", "platform"}[second/6%6]
		if second%6 == 0 {
			f.lossRate, f.platformDown, f.partitioned = 0, false, func(a, b *node) bool { return false }
		}
	}
	switch {
	case kind == "pause" && second%3 == 1:
		one.paused = f.at.Add(2 * time.Second)
	case kind == "link" && second%2 == 1:
		f.partitioned = func(a, b *node) bool { return (a == one && b == two) || (a == two && b == one) }
	case kind == "datacentre" && second%6 == 1:
		dc := one.vm.DataCentre
		f.partitioned = func(a, b *node) bool { return (a.vm.DataCentre == dc) != (b.vm.DataCentre == dc) }
	case kind == "datacentre" && second%6 == 4:
		f.partitioned = func(a, b *node) bool { return false }
	case kind == "lost":
		f.lossRate = 0.2
	case kind == "platform":
		f.platformDown = second > 1
	case kind == "death" && second%10 == 2:
		s.replace(f, one)
	case kind == "death" && second%10 == 6:
		for _, n := range f.vms {
			if n.dead {
				n.vm.State = siskin.VMGone
			}
		}
	case (kind == "dead" || kind == "gone") && second == 10:
		s.replace(f, one)
		if kind == "gone" {
			one.vm.State = siskin.VMGone
		}
	case kind == "stop" && second%5 == 2 && !one.dead:
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_ = one.l.Handover(ctx)
		cancel()
		s.replace(f, one)
		one.vm.State = siskin.VMGone
	}
}

// replace ends a VM and starts a new one in its data centre.
func (s *scenario) replace(f *fleet, n *node) {
	if n.dead {
		return
	}
	n.dead, n.vm.State = true, siskin.VMDead
	f.start(fmt.Sprint("vm-", len(f.vms)), 1, string(n.vm.DataCentre))
}
