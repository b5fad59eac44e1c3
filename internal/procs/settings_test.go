package procs

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"siskintray.example/siskin/internal/cfgini"
)

// TestSettingsOfOtherVersions guards against a VM that does not serve on settings
// which an earlier or a later version of the deployment template wrote.
func TestSettingsOfOtherVersions(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	files, _ := filepath.Glob("../cfgini/testdata/compat/*.ini")
	if len(files) == 0 {
		t.Fatal("no test data")
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			f := startFleetWith(t, 1, func(text string) string { return withValues(t, data, text) })
			log, err := os.ReadFile(filepath.Join(f.dir, f.vms[0].id+".1.log"))
			if err != nil {
				t.Fatal(err)
			}
			first, _, _ := strings.Cut(string(log), "\n")
			for _, want := range []string{`"Version":"`, `"Build":"`, `"Settings":"` + cfgini.Digest(cfgini.System{}) + `"`} {
				if !strings.Contains(first, want) {
					t.Errorf("first line of the log: got %s, want %s", first, want)
				}
			}
			var cfg cfgini.System
			var skipped cfgini.Findings
			if err := cfgini.Load(f.vms[0].settings, &cfg, cfgini.SkipUnknown(&skipped)); err != nil {
				t.Fatal(err)
			}
			if got, want := strings.Count(string(log), "is skipped"), len(skipped); got != want {
				t.Errorf("got %d lines on skipped names, want %d", got, want)
			}
			res, err := http.Get("http://" + cfg.Metrics.Address + "/metrics")
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			metrics, err := io.ReadAll(res.Body)
			if want := fmt.Sprintf("settings_skipped %d\n", len(skipped)); err != nil || !strings.Contains(string(metrics), want) {
				t.Errorf("metrics: got %v and no line %q", err, want)
			}
		})
	}
}

// withValues returns the settings in data with the values of text where both have
// a key.
func withValues(t *testing.T, data []byte, text string) string {
	t.Helper()
	file, found := cfgini.ParseFile("data", data)
	values, found2 := cfgini.ParseFile("text", []byte(text))
	if found = append(found, found2...); len(found) > 0 {
		t.Fatal(found.Err())
	}
	var b strings.Builder
	for _, s := range file.Sections {
		fmt.Fprintf(&b, "[%s]\n", s.Name)
		for _, e := range s.Entries {
			if other, ok := values.Section(s.Name).Entry(e.Key); ok {
				e.Value = other.Value
			}
			fmt.Fprintf(&b, "%s = %s\n", e.Key, e.Value)
		}
	}
	return b.String()
}
