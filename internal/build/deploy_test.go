package build

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestFailedBuild guards against a build that fails and leaves the program of an
// earlier version, which is then started on the settings of this one.
func TestFailedBuild(t *testing.T) {
	line := deployBuild(t)
	for _, c := range []struct {
		name, source string
		want         bool // whether there is a program afterwards
	}{
		{"builds", "package main\n\nfunc main() {}\n", true},
		{"fails", "package main\n\nfunc main() { undefined() }\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const earlier = "\x7fELF earlier" // the compiler replaces object files alone
			dir := t.TempDir()
			programs := []string{"siskintray", "siskintrayd"}
			write(t, filepath.Join(dir, "go.mod"), "module example.test/m\n")
			for _, p := range programs {
				write(t, filepath.Join(dir, "cmd", p, "main.go"), c.source)
				write(t, filepath.Join(dir, "target", p), earlier)
			}
			cmd := exec.Command("sh", "-c", line)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.want {
				t.Errorf("build: got %v, want success %t: %s", err, c.want, out)
			}
			for _, p := range programs {
				data, err := os.ReadFile(filepath.Join(dir, "target", p))
				if string(data) == earlier {
					t.Errorf("%s: got the earlier program after the build", p)
				}
				if got := !errors.Is(err, fs.ErrNotExist); got != c.want {
					t.Errorf("%s: got present %t, want %t", p, got, c.want)
				}
			}
		})
	}
}

// deployBuild returns the command that builds the programs on the users' platform.
func deployBuild(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "build = "); ok {
			text, err := strconv.Unquote(value)
			if err != nil {
				t.Fatal(err)
			}
			return text
		}
	}
	t.Fatal("deploy/system.toml has no build line")
	return ""
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
