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

// TestFailures guards against units that are created, lost for good or granted
// with tokens in the failures that the scripts in testdata describe.
func TestFailures(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "failures.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			s := script{f: newFleet(1)}
			for line := range strings.Lines(string(file.Data)) {
				command, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				if command == "" || command[0] == '#' {
					continue
				}
				if got := s.run(strings.Fields(command)); !matches(got, want) {
					t.Errorf("%s: got %q, want %q", command, got, want)
				}
				for _, id := range s.f.view.Customers() {
					s.f.sum(id)
				}
			}
		})
	}
}

// matches compares a result with the expected one, which may be a lower bound.
func matches(got, want string) bool {
	bound, ok := strings.CutPrefix(want, ">=")
	if !ok {
		return got == want
	}
	var a, b int
	fmt.Sscan(got, &a)
	fmt.Sscan(bound, &b)
	return a >= b
}

type script struct{ f *fleet }

func (s *script) run(args []string) string {
	f := s.f
	number := func(i int) (n float64) { fmt.Sscan(args[i], &n); return n }
	switch args[0] {
	case "customers":
		s.customers(args[1:])
	case "vm":
		f.start(args[1], int(number(2)), args[3])
	case "run":
		d, _ := time.ParseDuration(args[1])
		f.run(d)
	case "admit":
		return fmt.Sprint(s.admit(s.vm(args[1]), args[2], int(number(3))))
	case "drain":
		d, _ := time.ParseDuration(args[3])
		total := 0
		for end := f.at.Add(d); f.at.Before(end); f.step() {
			total += s.admit(s.vm(args[1]), args[2], 1)
		}
		return fmt.Sprint(total)
	case "held":
		return fmt.Sprint(s.vm(args[1]).l.core.units(siskin.CustomerID(args[2])) / 1024)
	case "sum":
		return fmt.Sprint(f.sum(siskin.CustomerID(args[1])) / 1024)
	case "pause":
		d, _ := time.ParseDuration(args[2])
		s.vm(args[1]).paused = f.at.Add(d)
	case "die":
		n := s.vm(args[1])
		n.dead, n.vm.State = true, siskin.VMDead
	case "gone":
		s.vm(args[1]).vm.State = siskin.VMGone
	case "cut":
		a, b := s.vm(args[1]), s.vm(args[2])
		f.partitioned = func(x, y *node) bool { return (x == a && y == b) || (x == b && y == a) }
	case "heal":
		f.partitioned = func(a, b *node) bool { return false }
	case "platform":
		f.platformDown = args[1] == "down"
	case "lose":
		f.lossRate = number(1)
	case "blind":
		s.vm(args[1]).seesOnlyItself = true
	case "unheard":
		return fmt.Sprint(f.unansweredCalls)
	case "handover":
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := s.vm(args[1]).l.Handover(ctx); err != nil {
			return err.Error()
		}
		return "ok"
	default:
		panic("unknown command " + args[0])
	}
	return ""
}

func (s *script) customers(specs []string) {
	var docs []*config.Customer
	for _, spec := range specs {
		id, limits, _ := strings.Cut(spec, "=")
		doc := &config.Customer{ID: siskin.CustomerID(id)}
		fmt.Sscanf(limits, "%g/%g", &doc.Rate, &doc.Burst)
		docs = append(docs, doc)
	}
	s.f.view.set(docs...)
	for _, n := range s.f.vms {
		n.l.core.refreshLimits(n.l.now())
	}
}

func (s *script) admit(n *node, customer string, count int) (admitted int) {
	for range count {
		if n.l.Admit(s.f.at, siskin.CustomerID(customer), 1).Admitted {
			admitted++
		}
	}
	return admitted
}

// vm returns the latest incarnation of a VM, or the one after the slash.
func (s *script) vm(name string) *node {
	id, incarnation, exact := strings.Cut(name, "/")
	var found *node
	for _, n := range s.f.vms {
		if string(n.vm.ID) == id && (!exact || fmt.Sprint(n.vm.Incarnation) == incarnation) {
			found = n
		}
	}
	return found
}
