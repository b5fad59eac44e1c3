package trail

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
)

// TestScripts guards against lines that explain a request and are missing from
// its story, against those of other services in it, and against causes that are
// counted wrongly.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scripts and %v, want some", len(files), err)
	}
	for _, name := range files {
		archive, err := txtar.ParseFile(name)
		if err != nil {
			t.Fatal(err)
		}
		var lines []Line
		for _, f := range archive.Files {
			vm, isLog := strings.CutSuffix(f.Name, ".log")
			id, isStory := strings.CutPrefix(f.Name, "story ")
			var got string
			switch {
			case isLog:
				more, err := Read(bytes.NewReader(f.Data), siskin.VMID(vm))
				if err != nil {
					t.Fatal(err)
				}
				lines = append(lines, more...)
				continue
			case isStory:
				for _, l := range Timeline(lines, id) {
					got += fmt.Sprintln(l.VM, l.Message)
				}
			default:
				got = causes(Causes(lines, 200*time.Millisecond))
			}
			if want := string(f.Data); got != want {
				t.Errorf("%s, %s: got\n%s\nwant\n%s", name, f.Name, got, want)
			}
		}
	}
}

func causes(r Report) string {
	text := fmt.Sprintf("requests=%d not logged=%d\n", r.Requests, r.NotLogged)
	for _, c := range r.Causes {
		late := ""
		if c.Late {
			late = "late "
		}
		text += fmt.Sprintf("%s %s%s %d vms=%d customers=%d longest=%v\n", c.Code, late, c.Reason, c.Count, c.VMs, c.Customers, c.Longest)
	}
	return text
}

// FuzzParse guards against a line that ends the program.
func FuzzParse(f *testing.F) {
	f.Add(`vm-a {"time":"2026-01-01T10:00:00Z","Took":1.5,"Primary":false}`)
	f.Add(`{"Primary":{"a":1},"Took":"x"}`)
	f.Add(`{`)
	f.Fuzz(func(_ *testing.T, text string) {
		if l, ok := parse(text, "vm"); ok {
			Timeline([]Line{l}, l.RequestID)
			Causes([]Line{l}, time.Millisecond)
		}
	})
}
