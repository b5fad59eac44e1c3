package build

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestContentID guards against programs of two builds that cannot be told apart,
// and against a start that fails because the program's file cannot be read.
func TestContentID(t *testing.T) {
	dir := t.TempDir()
	seen := map[string]bool{"": true}
	for _, mode := range []string{"internal", "external"} {
		source, program := filepath.Join(dir, mode+".go"), filepath.Join(dir, mode)
		write(t, source, "package main\n\nfunc main() {}\n")
		if out, err := exec.Command("go", "build", "-ldflags=-linkmode="+mode, "-o", program, source).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		out, err := exec.Command("go", "tool", "buildid", program).Output()
		if err != nil {
			t.Fatal(err)
		}
		parts := strings.Split(strings.TrimSpace(string(out)), "/")
		got, want := contentID(program), parts[len(parts)-1]
		if got != want || seen[got] {
			t.Errorf("%s linker: got ID %q, want %q and another than before", mode, got, want)
		}
		seen[got] = true
	}
	text := filepath.Join(dir, "text")
	write(t, text, "\x7fELF")
	for _, path := range []string{text, filepath.Join(dir, "absent")} {
		if got := contentID(path); got != "" {
			t.Errorf("%s: got ID %q, want none", path, got)
		}
	}
}
