package relay

import (
	"testing"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// unconfiguredView is the configuration of a VM that has just started.
type unconfiguredView struct{ config.View }

// Revision implements config.View.
func (unconfiguredView) Revision() siskin.Revision { return 0 }

// TestForwardedBeforeConfiguration guards against an UnknownRoute error to the
// caller if the home has just started and has no configuration. The entry VM,
// which knows the route, must be able to retry.
func TestForwardedBeforeConfiguration(t *testing.T) {
	none := config.NewStaticView(nil, nil)
	for _, tt := range []struct {
		view config.View
		want siskin.ErrorKind
	}{{unconfiguredView{none}, siskin.NotRun}, {none, siskin.UnknownRoute}} {
		h := (&Home{Clock: clockwork.NewFakeClock(), Config: tt.view}).Init()
		_, f := h.Begin(&Header{Service: "s", Route: "write", Target: "s/1"})
		if f == nil || f.Err.Kind != tt.want {
			t.Errorf("revision %d: got %+v, want %v", tt.view.Revision(), f, tt.want)
		}
	}
}
