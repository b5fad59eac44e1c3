package feed

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
)

// TestSkippedEntryIsLoggedOnce guards against a line for the same unusable entry
// with every list, which costs processor time on all readers.
func TestSkippedEntryIsLoggedOnce(t *testing.T) {
	s := &fakeStore{targets: []siskin.StoreObject{{Name: "odd", Version: 3}}}
	f := newRightsFeed(t, s)
	var out bytes.Buffer
	f.cfg.Log = logs.New("warn", "json", &out)
	f.cfg.ParseTarget = func(siskin.StoreObject) (siskin.TargetInfo, error) {
		return siskin.TargetInfo{}, siskin.NewError(siskin.BadInput, "no address")
	}
	read := func() {
		t.Helper()
		if err := f.readTargets(context.Background(), f.cfg.Clock.Now()); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		read()
	}
	s.targets = []siskin.StoreObject{{Name: "odd", Version: 4}}
	read()
	if got := strings.Count(out.String(), "cannot be decoded as a target"); got != 2 {
		t.Errorf("lines for two versions in four lists: got %d, want 2: %s", got, out.String())
	}
}
