package cmds

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestDocs guards against a command or an exit code that docs/CLI.md does not
// list.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/CLI.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, s := range builtin() {
		if !strings.Contains(page, "`"+s.Name) {
			t.Errorf("docs/CLI.md does not list %s", s.Name)
		}
		if s.Long == "" || !strings.Contains(s.Long, "siskintray "+s.Name) {
			t.Errorf("the help of %s has no example", s.Name)
		}
	}
	for code, name := range map[int]string{
		ExitOK: "OK", ExitInternal: "Internal", ExitUsage: "Usage", ExitRefused: "Refused", ExitConflict: "Conflict",
		ExitUnavailable: "Unavailable", ExitUnknown: "Unknown", ExitBroken: "Broken", ExitPartial: "Partial",
	} {
		if row := fmt.Sprintf("| %d | %s |", code, name); !strings.Contains(page, row) {
			t.Errorf("docs/CLI.md has no row %s", row)
		}
	}
}
