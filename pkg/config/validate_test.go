package config

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected findings")

// TestValidate guards against an accepted change that breaks the current
// configuration. Each txtar file holds the current configuration (revision 1, in
// the format of a change), a change, and its expected findings and difference.
func TestValidate(t *testing.T) {
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
			got := map[string]string{}
			got["findings"], got["diff"] = validateFiles(t, archiveFile(a, "inforce.json"), archiveFile(a, "change.json"))
			changed := false
			for name, text := range got {
				f := archiveFile(a, name)
				if string(f.Data) == text {
					continue
				}
				if *update {
					f.Data, changed = []byte(text), true
					continue
				}
				t.Errorf("%s: got:\n%s\nwant:\n%s", name, text, f.Data)
			}
			if changed {
				if err := os.WriteFile(path, txtar.Format(a), 0o644); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

func validateFiles(t *testing.T, inForce, changed *txtar.File) (findings, diff string) {
	t.Helper()
	base, err := DecodeChange(inForce.Data)
	if err != nil {
		t.Fatal(err)
	}
	if found := Validate(nil, base); len(found) > 0 {
		t.Fatalf("inforce.json: %v", found)
	}
	base.SetRevision(1)
	view := NewStaticView(base.Services, base.Customers)
	change, err := DecodeChange(changed.Data)
	if err != nil {
		return err.Error() + "\n", ""
	}
	if found := Validate(view, change); len(found) > 0 {
		return found.Err().Error() + "\n", ""
	}
	return "", Diff(view, NewOverlay(view, change)).Text()
}

func archiveFile(a *txtar.Archive, name string) *txtar.File {
	for i := range a.Files {
		if a.Files[i].Name == name {
			return &a.Files[i]
		}
	}
	a.Files = append(a.Files, txtar.File{Name: name})
	return &a.Files[len(a.Files)-1]
}
