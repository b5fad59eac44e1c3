package quest

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

var update = flag.Bool("update", false, "rewrite the expected results")

// TestMain fixes the seed of randomized tests; override it with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// TestScripts guards against answers that are accepted with a fault, and
// against a dialog that loses an answer on the way back. A file with "input"
// is typed at a terminal; a file with "answers.ini" is read.
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
			in, want := a.Files[0], &a.Files[1]
			var got string
			if in.Name == "input" {
				got = typed(string(in.Data))
			} else {
				got = read(in.Name, in.Data)
			}
			if got != string(want.Data) {
				if *update {
					want.Data = []byte(got)
					_ = os.WriteFile(path, txtar.Format(a), 0o644)
					return
				}
				t.Errorf("got:\n%s\nwant:\n%s", got, want.Data)
			}
		})
	}
}

func typed(input string) string {
	var b strings.Builder
	form, change, err := Ask(strings.NewReader(input), &b, nil)
	// A terminal shows the typed line and its end after each prompt.
	out := regexp.MustCompile(`(?m) +(\[\d+/\d+\]|!|$)`).ReplaceAllString(b.String(), "\n$1")
	if err != nil {
		return out + "error: " + err.Error() + "\n"
	}
	return out + "\n" + string(form.INI()) + config.Diff(config.NewStaticView(nil, nil), config.NewOverlay(config.NewStaticView(nil, nil), change)).Text()
}

func read(file string, data []byte) string {
	form, found := Read(file, data)
	if len(found) == 0 {
		_, found = Generate(nil, form)
	}
	if err := found.Err(); err != nil {
		return err.Error() + "\n"
	}
	return ""
}

// TestExamples guards against examples of either firm that do not generate a
// valid configuration of the sizes in section 1.6 of the design.
func TestExamples(t *testing.T) {
	for _, firm := range []struct {
		name               string
		slots, connections int
	}{{"syntyma", 2, 16}, {"hartwell", 3, 40}} {
		files, _ := filepath.Glob("../../examples/" + firm.name + "/*.ini")
		var forms []*Form
		for _, path := range files {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			form, found := Read(path, data)
			if len(found) > 0 {
				t.Fatal(found.Err())
			}
			forms = append(forms, form)
		}
		change, found := Generate(nil, forms...)
		if len(found) > 0 {
			t.Fatal(found.Err())
		}
		dcs := map[siskin.DataCentreID]bool{}
		for _, s := range change.Services {
			if s.Slots != firm.slots || s.ConnectionsPerSlot != firm.connections || len(s.Targets) != 3 {
				t.Errorf("%s: got %d slots, %d connections, %d targets, want %d, %d, 3", s.Name, s.Slots, s.ConnectionsPerSlot, len(s.Targets), firm.slots, firm.connections)
			}
			for _, target := range s.Targets {
				dcs[target.DataCentre] = true
			}
		}
		if got, want := []int{len(change.Services), len(change.Customers), len(dcs)}, []int{3, 8, 4}; !slices.Equal(got, want) {
			t.Errorf("%s: got %v services, customers and data centres, want %v", firm.name, got, want)
		}
	}
}

// TestSessionRandom guards against a walk back and forth that ends with a form
// which its own file format refuses or changes.
func TestSessionRandom(t *testing.T) {
	answers := []string{"", "a", "b", "2", "5", "10ms", "yes", "no", "Read", "Write", "10.0.0.1:1", "p x", "\"", "[", strings.Repeat("x", 5000), "\x00"}
	complete := 0
	rapid.Check(t, func(t *rapid.T) {
		s := NewSession()
		for range 600 {
			if rapid.IntRange(0, 15).Draw(t, "back") == 0 {
				for range rapid.IntRange(1, 20).Draw(t, "steps") {
					s.Back()
				}
			}
			// Drawn again until one fits, so that most walks reach the end.
			for try := 0; try < 40 && s.Answer(rapid.SampledFrom(answers).Draw(t, "answer")) != nil; try++ {
			}
			if at, total := s.Progress(); at < 1 || at > total {
				t.Fatalf("got progress %d of %d", at, total)
			}
			form, done := s.Form()
			if !done {
				continue
			}
			complete++
			again, found := Read("f.ini", form.INI())
			if len(found) > 0 {
				t.Fatalf("%v\n%s", found.Err(), form.INI())
			}
			if !slices.EqualFunc(form.answers, again.answers, func(a, b []map[string]string) bool { return slices.EqualFunc(a, b, maps.Equal) }) {
				t.Fatalf("got %v, want %v", again.answers, form.answers)
			}
			s.Back()
		}
	})
	if complete == 0 {
		t.Error("no walk reached the end")
	}
	t.Logf("%d complete forms", complete)
}

// FuzzRead guards against a panic on hostile answers.
func FuzzRead(f *testing.F) {
	data, err := os.ReadFile("../../examples/syntyma/badges-families.ini")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("[Customer.200]\nID = x\n[Target.01]\n[Route]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if form, found := Read("f.ini", data); len(found) == 0 {
			Generate(nil, form)
		}
	})
}

// TestAnswerLength guards against an answer that is valid but of any length.
func TestAnswerLength(t *testing.T) {
	keys := strings.Repeat("k "+strings.Repeat("0", 64)+", ", 100)
	q := &groups[4].Questions[groups[4].find("Keys")]
	if message, _ := q.check(keys + "k " + strings.Repeat("0", 64)); !strings.Contains(message, "longer than 4096") {
		t.Errorf("got %q, want a refusal of the length", message)
	}
}
