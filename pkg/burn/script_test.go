package burn

import (
	"bytes"
	"encoding/xml"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func kindNamed(s string) (siskin.ErrorKind, bool) {
	for k := range siskin.ErrorKind(kindCount) {
		if k.String() == s {
			return k, true
		}
	}
	return 0, false
}

// script runs the commands of a txtar file. The recorders of the VMs share a
// clock; a VM that is started again gets a new recorder.
type script struct {
	clock *clockwork.FakeClock
	runs  map[string]*Recorder
	step  time.Duration
}

func (s *script) run(t *testing.T, line string) {
	f := strings.Fields(line)
	switch f[0] {
	case "start": // start vm incarnation
		var inc siskin.Incarnation
		fmt.Sscan(f[2], &inc)
		s.runs[f[1]] = New(s.clock, siskin.VM{ID: siskin.VMID(f[1]), Incarnation: inc, DataCentre: "turku-1"})
	case "step": // step duration: time between the transactions of a load
		s.step = parseDuration(t, f[1])
	case "pause": // pause duration: no VM runs
		s.clock.Advance(parseDuration(t, f[1]))
	case "gap": // gap vm service duration
		s.runs[f[1]].WriteGap(siskin.ServiceName(f[2]), parseDuration(t, f[3]))
	case "load": // load vm service customer duration count outcome [count outcome]..., counts for each step
		for d := time.Duration(0); d < parseDuration(t, f[4]); d += 10 * time.Second {
			for _, r := range s.runs {
				r.Tick()
			}
			if d%s.step != 0 {
				s.clock.Advance(10 * time.Second)
				continue
			}
			for i := 5; i+1 < len(f); i += 2 {
				n := 0
				fmt.Sscan(f[i], &n)
				for range n {
					s.runs[f[1]].Transaction(siskin.ServiceName(f[2]), siskin.CustomerID(f[3]), resultNamed(t, f[i+1]))
				}
			}
			s.clock.Advance(10 * time.Second)
		}
	default:
		t.Fatalf("unknown command %s", line)
	}
}

func parseDuration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func resultNamed(t *testing.T, s string) Result {
	switch s {
	case "write":
		return Result{Latency: time.Millisecond}
	case "slow":
		return Result{Latency: time.Second}
	case "replica":
		return Result{Read: true, ByReplica: true}
	case "primary":
		return Result{Read: true}
	case "within":
		return Result{Failed: true, Kind: siskin.RateExceeded, WithinRate: true}
	}
	k, ok := kindNamed(s)
	if !ok {
		t.Fatalf("unknown outcome %s", s)
	}
	return Result{Failed: true, Kind: k}
}

// TestScripts guards against missing alerts, against false alerts, and against a
// restart or pause that is reported as time without failures.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	if len(files) == 0 {
		t.Fatal("no test data")
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{clock: clockwork.NewFakeClockAt(start), runs: map[string]*Recorder{}, step: 10 * time.Second}
			for line := range strings.Lines(string(a.Files[0].Data)) {
				s.run(t, line)
			}
			var records []Record
			for _, r := range s.runs {
				records = append(records, r.Record())
			}
			merged, err := Merge(records...)
			if err != nil {
				t.Fatal(err)
			}
			rep := Evaluate(merged, nil)
			var b bytes.Buffer
			if err := rep.WriteText(&b); err != nil {
				t.Fatal(err)
			}
			if got, want := b.String(), &a.Files[1]; got != string(want.Data) {
				if *update {
					want.Data = []byte(got)
					_ = os.WriteFile(path, txtar.Format(a), 0o644)
				} else {
					t.Errorf("got:\n%s\nwant:\n%s", got, want.Data)
				}
			}
			checkPage(t, &rep)
		})
	}
}

// checkPage checks that the page can be parsed and loads no other resource.
func checkPage(t *testing.T, rep *Report) {
	var b bytes.Buffer
	if err := rep.WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	if dir := os.Getenv("BURN_PAGE"); dir != "" {
		_ = os.WriteFile(filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-")+".html"), b.Bytes(), 0o644)
	}
	d := xml.NewDecoder(&b)
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		token, err := d.Token()
		if err == io.EOF {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		if e, ok := token.(xml.StartElement); ok && (e.Name.Local == "script" || e.Name.Local == "link" || e.Name.Local == "img") {
			t.Errorf("page has an element %s", e.Name.Local)
		}
	}
}
