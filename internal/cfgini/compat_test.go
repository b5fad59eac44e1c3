package cfgini

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// readCompat reads a file of the corpus as a VM does at its start.
func readCompat(t *testing.T, name string) (*System, Findings) {
	t.Helper()
	var cfg System
	var skipped Findings
	if err := Load(filepath.Join("testdata", "compat", name), &cfg, SkipUnknown(&skipped)); err != nil {
		t.Fatalf("got %v, want settings that are read", err)
	}
	return &cfg, skipped
}

// TestEarlierSettings guards against a key that vanishes or gets another name, so
// that a VM does not start on settings that an earlier template wrote. The corpus
// has the rendered form of each template that was in use.
func TestEarlierSettings(t *testing.T) {
	files, _ := filepath.Glob("testdata/compat/template-*.ini")
	if len(files) < 6 {
		t.Fatalf("got %d files, want the 6 of earlier templates", len(files))
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			cfg, skipped := readCompat(t, filepath.Base(path))
			if len(skipped) > 0 {
				t.Errorf("got %v skipped, want nothing", skipped)
			}
			if got, want := cfg.VM.ID, "front-a-1"; got != want {
				t.Errorf("VM.ID: got %s, want %s", got, want)
			}
			if got, want := cfg.VM.Memory, siskin.Bytes(284<<20); got != want {
				t.Errorf("VM.Memory: got %v, want %v", got, want)
			}
		})
	}
	cfg, _ := readCompat(t, "template-6.ini")
	if got, want := cfg.Promoter.Fencing, true; got != want {
		t.Errorf("Promoter.Fencing: got %v, want %v", got, want)
	}
	if got, want := cfg.Operator, (SystemOperator{EvacuateWithin: 5 * time.Second, ColdExcess: 1.5, ColdSlack: 20}); got != want {
		t.Errorf("Operator: got %+v, want %+v", got, want)
	}
}

// TestCorpusHasDeployTemplate guards against a deployment template whose settings
// are not in the corpus, so that nothing keeps a later version from dropping them.
func TestCorpusHasDeployTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/siskintrayd.ini")
	if err != nil {
		t.Fatal(err)
	}
	file, found := ParseFile("siskintrayd.ini", template)
	if len(found) > 0 {
		t.Fatal(found.Err())
	}
	files, _ := filepath.Glob("testdata/compat/template-*.ini")
	newest, err := os.ReadFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	corpus, found := ParseFile(files[len(files)-1], newest)
	if len(found) > 0 {
		t.Fatal(found.Err())
	}
	for _, s := range file.Sections {
		for _, e := range s.Entries {
			if _, ok := corpus.Section(s.Name).Entry(e.Key); !ok {
				t.Errorf("%s.%s is not in %s; add the rendered template as the next file", s.Name, e.Key, files[len(files)-1])
			}
		}
	}
}

// TestLaterSettings guards against a VM that does not start on settings with names
// of a later version, and against one that skips a misspelt name whose default
// could break a promise.
func TestLaterSettings(t *testing.T) {
	cfg, skipped := readCompat(t, "later.ini")
	if got, want := cfg.VM.ID, "front-a-1"; got != want {
		t.Errorf("VM.ID: got %s, want %s", got, want)
	}
	var names []string
	for _, f := range skipped {
		names = append(names, f.String())
	}
	got, want := strings.Join(names, "\n"), `testdata/compat/later.ini:8: unknown key Accelerator in section VM; remove it; docs/SETTINGS.md lists what is known
testdata/compat/later.ini:19: unknown key Standby in section Store; remove it; docs/SETTINGS.md lists what is known
testdata/compat/later.ini:33: unknown section Tracing; remove it; docs/SETTINGS.md lists what is known`
	if got != want {
		t.Errorf("skipped: got\n%s\nwant\n%s", got, want)
	}

	data, err := os.ReadFile("testdata/compat/later.ini")
	if err != nil {
		t.Fatal(err)
	}
	if got := len(Parse("later.ini", data, new(System))); got != len(skipped) {
		t.Errorf("read strictly: got %d findings, want %d", got, len(skipped))
	}
	for _, s := range Describe(System{}) {
		line := "\n" + s.Key + " = "
		at := strings.Index(string(data), line)
		if !s.Guard || at < 0 {
			continue
		}
		misspelt := string(data[:at+1]) + "X" + string(data[at+1:])
		var skipped Findings
		found := Parse("later.ini", []byte(misspelt), new(System), SkipUnknown(&skipped))
		if len(found) == 0 || !strings.Contains(found.Err().Error(), s.Name()+" is not set") || len(skipped) > 0 {
			t.Errorf("%s misspelt: got findings %v, %d names skipped, want a finding that names it and none skipped", s.Name(), found, len(skipped))
		}
	}
}
