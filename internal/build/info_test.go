package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestContentID guards against programs of two builds that cannot be told apart,
// with and without the external linker.
func TestContentID(t *testing.T) {
	dir := t.TempDir()
	seen := make(map[string]string)
	for _, text := range []string{"one", "two"} {
		for _, mode := range []string{"internal", "external"} {
			source, program := filepath.Join(dir, text+".go"), filepath.Join(dir, text+"-"+mode)
			if err := os.WriteFile(source, []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if out, err := exec.Command("go", "build", "-ldflags=-linkmode="+mode, "-o", program, source).CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			out, err := exec.Command("go", "tool", "buildid", program).Output()
			if err != nil {
				t.Fatal(err)
			}
			parts := strings.Split(strings.TrimSpace(string(out)), "/")
			got, want := contentID(program), parts[len(parts)-1]
			if got != want || got == "" {
				t.Errorf("%s: got ID %q, want %q", program, got, want)
			}
			if other, ok := seen[got]; ok && !strings.HasPrefix(filepath.Base(program), other) {
				t.Errorf("%s has the ID of %s", program, other)
			}
			seen[got] = text
		}
	}
}

// TestContentIDOfOtherFiles guards against a start that fails because its own file
// cannot be read.
func TestContentIDOfOtherFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(path, []byte("\x7fELF"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{path, path + "-absent"} {
		if got := contentID(p); got != "" {
			t.Errorf("%s: got ID %q, want none", p, got)
		}
	}
	if got := Read(); got.Version == "" || got.Go == "" {
		t.Errorf("got %+v, want a version of the program and of Go", got)
	}
}
