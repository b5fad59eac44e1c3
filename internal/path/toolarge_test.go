package path

import (
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// TestTooLargeForVM guards against a write that another VM cannot receive for
// its size and whose outcome is reported as unknown, and against a VM that is
// left out because of it.
func TestTooLargeForVM(t *testing.T) {
	h := &echoHome{make(chan home.Request, 1)}
	p := newPeerPath(t, startHome(t, h).Address(), io.Discard)
	req := &home.Request{Statement: siskin.Statement{ID: "1", Kind: siskin.Write, Text: "1a4 x"}, Timeout: time.Second}
	for range 5 {
		req.Values = append(req.Values, home.Value{Name: "n", Text: strings.Repeat("x", maxMessage)})
	}
	if got := runOn(p, req); got.Outcome != home.NotSent || got.Cause != home.Unknown {
		t.Errorf("write that is too large for a message: got outcome %d (%s), want not sent", got.Outcome, got.Cause)
	}
	if len(h.requests) != 0 {
		t.Error("write that is too large for a message: got a run, want none")
	}
	if !slices.ContainsFunc(p.cfg.Crew.Live(), func(vm siskin.VM) bool { return vm.ID == otherVM }) {
		t.Errorf("VM after a message that was too large: got it left out, want it live")
	}
}
