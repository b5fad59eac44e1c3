package quota

import (
	"io"
	"math"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/tools/txtar"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/table"
)

// member is a VM of a fleet of which it knows no other.
type member siskin.VMID

func (m member) Self() siskin.VM                    { return siskin.VM{ID: siskin.VMID(m)} }
func (m member) Live() []siskin.VM                  { return []siskin.VM{m.Self()} }
func (member) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }
func (member) Changed() <-chan struct{}             { return nil }

func newMember(clock *clockwork.FakeClock, id siskin.VMID) *Limiter {
	return New(Config{Clock: clock, Run: 1, Table: table.New(), Members: member(id), Log: logs.New("error", "json", io.Discard)})
}

// slotsOf decodes the slots of a script.
func slotsOf(words []string) (list []Slot) {
	for _, word := range words {
		holder, from, ok := strings.Cut(word, "<")
		s := Slot{Holder: siskin.VMID(holder), Bounded: true}
		for id := range strings.SplitSeq(from, "+") {
			if ok {
				s.From = append(s.From, siskin.VMID(id))
			}
		}
		list = append(list, s)
	}
	return list
}

// TestRights guards against slots that two VMs spend at a time, and against VMs
// that never spend a slot which nobody else can.
func TestRights(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "rights.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			l := newMember(clock, "a")
			for line := range strings.Lines(string(file.Data)) {
				input, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				words := strings.Fields(input)
				clock.Advance(duration(t, words[0]) - clock.Since(start))
				play(t, l, start, words[1:])
				r, _ := l.Rights()
				if got := strconv.Itoa(int(math.Round(l.Share() * float64(len(r.Slots))))); got != want {
					t.Errorf("%s: got %s slots, want %s", input, got, want)
				}
			}
		})
	}
}

func play(t *testing.T, l *Limiter, start time.Time, words []string) {
	t.Helper()
	now := l.cfg.Clock.Now()
	switch words[0] {
	case "read", "peer", "restored":
		read := now
		if words[0] == "peer" {
			read = now.Add(-duration(t, words[1]))
			words = words[1:]
		}
		r := Rights{Version: version(t, words[1]), Era: siskin.FirstEra, Slots: slotsOf(words[2:])}
		if words[0] == "restored" {
			r.Version |= 1 << 40 // of the second era
		} else if l.rights.known.Restored() && words[0] == "read" {
			r.Version |= 1 << 40
			r.Era++
		}
		l.SetRights(r, read)
	case "confirm":
		v := version(t, words[2])
		if l.rights.known.Restored() {
			v |= 1 << 40
		}
		l.ConfirmRights(v, start.Add(duration(t, words[1])))
	case "contact":
		l.RecordContact(version(t, words[2]), start.Add(duration(t, words[1])))
	case "aware":
		l.RecordAware(siskin.VMID(words[1]), version(t, words[2]), now)
	case "giveup":
		l.GiveUp()
	}
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func version(t *testing.T, s string) siskin.Version {
	t.Helper()
	n, err := strconv.ParseUint(s, 10, 40)
	if err != nil {
		t.Fatal(err)
	}
	return siskin.Version(n)
}
