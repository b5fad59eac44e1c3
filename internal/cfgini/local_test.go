package cfgini

import (
	"path/filepath"
	"strings"
	"testing"
)

// TestLocalExample guards against settings in examples/local that the programs
// reject, and against a file that no program reads.
func TestLocalExample(t *testing.T) {
	files, _ := filepath.Glob("../../examples/local/*.ini")
	n := 0
	for _, path := range files {
		var settings any
		switch name := filepath.Base(path); {
		case strings.HasSuffix(name, ".answers.ini"):
			continue // read by TestAllExamplesTogether of internal/quest
		case name == "platform.ini":
			settings = new(StandinPlatform)
		case strings.HasPrefix(name, "vm-"):
			settings = new(Daemon)
		default:
			settings = new(StandinTarget)
		}
		n++
		if err := Load(path, settings); err != nil {
			t.Error(err)
		}
	}
	if got, want := n, 1+6+6; got != want {
		t.Errorf("got %d files, want %d: a platform, six targets and six VMs", got, want)
	}
}
