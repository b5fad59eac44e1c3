package cfgini

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// TestSettingsOfOtherVersions guards against a VM that does not start on settings
// which another version of the deployment template wrote, and against a misspelt
// key that gets a default which could break a promise. Each txtar file holds
// settings, the names that are skipped, and the findings.
func TestSettingsOfOtherVersions(t *testing.T) {
	files, _ := filepath.Glob("testdata/compat/*.txtar")
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil || len(a.Files) != 3 {
				t.Fatalf("got %v and %d files, want vm.ini, skipped and findings", err, len(a.Files))
			}
			var skipped Findings
			found := Parse("vm.ini", a.Files[0].Data, new(System), SkipUnknown(&skipped))
			for i, got := range []Findings{skipped, found} {
				text := ""
				if err := got.Err(); err != nil {
					text = err.Error() + "\n"
				}
				if want := &a.Files[i+1]; *update {
					want.Data = []byte(text)
				} else if text != string(want.Data) {
					t.Errorf("%s: got\n%swant\n%s", want.Name, text, want.Data)
				}
			}
			if *update {
				if err := os.WriteFile(path, txtar.Format(a), 0o644); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// TestValuesOfTemplate guards against a key that an earlier template wrote and that
// is read without an effect.
func TestValuesOfTemplate(t *testing.T) {
	a, err := txtar.ParseFile("testdata/compat/template-6.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var cfg System
	if found := Parse("vm.ini", a.Files[0].Data, &cfg, SkipUnknown(new(Findings))); len(found) > 0 {
		t.Fatal(found.Err())
	}
	if got := cfg.VM; got.ID != "front-a-1" || got.Memory != 284<<20 || got.Link != 1000 {
		t.Errorf("VM: got %+v, want front-a-1 with 284 MB and 1000 Mbit/s", got)
	}
	if !cfg.Promoter.Fencing {
		t.Error("Promoter.Fencing: got false, want true")
	}
	if got, want := cfg.Operator, (SystemOperator{EvacuateWithin: 5 * time.Second, ColdExcess: 1.5, ColdSlack: 20}); got != want {
		t.Errorf("Operator: got %+v, want %+v", got, want)
	}
}

// TestTemplateIsKept guards against a key of the deployment template that a later
// version could drop, since the newest settings of the test data lack it.
func TestTemplateIsKept(t *testing.T) {
	template, err := os.ReadFile("../../deploy/siskintrayd.ini")
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("testdata/compat/template-*.txtar")
	a, err := txtar.ParseFile(files[len(files)-1])
	if err != nil {
		t.Fatal(err)
	}
	var names [2][]string
	for i, data := range [][]byte{a.Files[0].Data, template} {
		file, found := ParseFile("vm.ini", data)
		if len(found) > 0 {
			t.Fatal(found.Err())
		}
		for _, s := range file.Sections {
			for _, e := range s.Entries {
				names[i] = append(names[i], s.Name+"."+e.Key)
			}
		}
	}
	if got, want := names[0], names[1]; !slices.Equal(got, want) {
		t.Errorf("%s: got keys %s, want those of the template, %s; add its settings as the next file", files[len(files)-1], strings.Join(got, " "), strings.Join(want, " "))
	}
}
