package cfgini

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite golden files and docs/SETTINGS.md")

// TestFindings guards against a VM that starts with invalid settings, and
// against a report that stops at the first error. Each txtar file holds settings
// and the expected findings.
func TestFindings(t *testing.T) {
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
			dir := t.TempDir()
			if err := txtar.Write(a, dir); err != nil {
				t.Fatal(err)
			}
			got := ""
			if err := Load(filepath.Join(dir, "vm.ini"), new(Daemon)); err != nil {
				got = strings.ReplaceAll(err.Error(), dir+"/", "") + "\n"
			}
			want := &a.Files[len(a.Files)-1]
			if want.Name != "findings" {
				t.Fatalf("last file is %s, want findings", want.Name)
			}
			if got != string(want.Data) {
				if *update {
					want.Data = []byte(got)
					if err := os.WriteFile(path, txtar.Format(a), 0o644); err != nil {
						t.Fatal(err)
					}
					return
				}
				t.Errorf("got:\n%s\nwant:\n%s", got, want.Data)
			}
		})
	}
}

const validSettings = "[VM]\nID = vm-1\nDataCentre = turku-1\n[Caller]\nAddress = 127.0.0.1:6432\n" +
	"[Peer]\nAddress = 127.0.0.1:6433\nForwardAddress = 127.0.0.1:6436\nCertFile = f\nKeyFile = f\nCAFile = f\n" +
	"[Platform]\nAddresses = 127.0.0.1:7000, [::1]:7000\n[Token]\nKeyFile = f\n"

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, data := range map[string]string{"vm.ini": text, "f": "x"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "vm.ini")
}

// TestReload guards against a reload that applies a setting which a running VM
// cannot change, or that misses one which it can.
func TestReload(t *testing.T) {
	path := writeSettings(t, validSettings)
	cfg := new(Daemon)
	if err := Load(path, cfg); err != nil {
		t.Fatal(err)
	}
	if got, want := len(cfg.Platform.Addresses), 2; got != want {
		t.Errorf("got %d platform addresses, want %d", got, want)
	}
	replace := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	replace(validSettings + "[Log]\nLevel = debug\n")
	next, changed, err := Reload(path, cfg)
	if err != nil || next.Log.Level != "debug" || !slices.Equal(changed, []string{"Log.Level"}) {
		t.Errorf("got %v, %v, want Log.Level reloaded", changed, err)
	}
	replace(strings.Replace(validSettings, "vm-1", "vm-2", 1) + "[Log]\nLevel = debug\n")
	if _, _, err := Reload(path, cfg); err == nil || !strings.Contains(err.Error(), "VM.ID cannot change") {
		t.Errorf("got %v, want an error that names VM.ID", err)
	}
}

// TestReferencePage guards against a reference page that differs from the
// types. Run with -update to rewrite it.
func TestReferencePage(t *testing.T) {
	const path = "../../docs/SETTINGS.md"
	want := "# Settings\n\nThis page is generated from the Go types in internal/cfgini by `go test ./internal/cfgini -update`.\n\n" +
		"Settings are INI with Pascal-case names. A value takes the rest of its line. Durations are written as `250ms`, `10s` or `2m`, sizes as `64KB` or `16MB`, addresses as IP number and port, lists with commas. " +
		"Relative file names are taken from the directory of the settings file. `siskintrayd --check` reports all findings, each with file, line and remedy. " +
		"On SIGHUP a VM reads the file again; when a setting changed that is not marked `yes` under Reload, nothing is reloaded.\n\n" +
		"## siskintrayd\n" + Reference(Daemon{}) +
		"\n## siskintrayd --protocol session\n\n" +
		"A VM skips keys and sections that it does not know, as a later version may have written them: it logs each with its line, counts them in the metric `settings_skipped`, and defaults hold. " +
		"In a file that lacks one of `" + strings.Join(Guards(System{}), "`, `") + "` an unknown name may be a misspelt one of these, and the VM does not start. `siskintrayd --check` reports unknown names in any file.\n" + Reference(System{}) +
		"\n## siskintray standin platform\n" + Reference(StandinPlatform{}) +
		"\n## siskintray standin target\n" + Reference(StandinTarget{})
	if *update {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/SETTINGS.md differs from the types; run go test ./internal/cfgini -update")
	}
}

// TestExamples guards against example settings that are rejected.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*/vms/*.ini")
	if got, want := len(files), 2; got != want {
		t.Fatalf("got %d examples, want %d", got, want)
	}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		dir := t.TempDir()
		for line := range strings.Lines(string(data)) {
			if key, name, ok := strings.Cut(strings.TrimSpace(line), "File = "); ok && !strings.HasPrefix(key, "#") {
				if err := os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o600); err != nil {
					t.Fatal(err)
				}
			}
		}
		if err := Parse(filepath.Join(dir, "vm.ini"), data, new(Daemon)).Err(); err != nil {
			t.Error(err)
		}
	}
}

// TestDefaultsAreValid guards against a default outside its own bounds.
func TestDefaultsAreValid(t *testing.T) {
	if found := Parse("vm.ini", []byte("[Target]\nID = a/1\nDataCentre = x\nAddress = 127.0.0.1:1\nReplicationAddress = 127.0.0.1:2\nAdminAddress = 127.0.0.1:3\nGroup = 127.0.0.1:2\nSlots = 2\nConnectionsPerSlot = 16\nUser = u\nPassword = #p=\nReadUser = r\nReadPassword = p\nDatabase = d\n"), new(StandinTarget)); found.Err() != nil {
		t.Error(found.Err())
	}
	if found := Parse("vm.ini", []byte("[Platform]\nAddress = 127.0.0.1:1\nAdminAddress = 127.0.0.1:2\n"), new(StandinPlatform)); found.Err() != nil {
		t.Error(found.Err())
	}
}

// FuzzParse guards against a panic and against a value that differs from the
// text of its line.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[A]\nb = \"c\\\n[A]\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, found := ParseFile("x.ini", []byte(text))
		if len(found) > 0 {
			return
		}
		lines := strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n")
		for _, s := range file.Sections {
			for _, e := range s.Entries {
				_, want, _ := strings.Cut(lines[e.Line-1], "=")
				if got, want := e.Value, strings.TrimSpace(want); got != want {
					t.Errorf("line %d: got %q, want %q", e.Line, got, want)
				}
			}
		}
		Parse("x.ini", []byte(text), new(StandinPlatform))
	})
}
