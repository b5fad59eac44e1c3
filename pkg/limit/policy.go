package limit

import (
	"time"

	"siskintray.example/siskin"
)

// short reports whether a holder should ask others for units.
func (h *holding) short(_ time.Duration, _ float64, admitted bool) bool { return !admitted }

// gift returns the units to give to an asker.
func (h *holding) gift(_ time.Duration, _ *AskItem) siskin.Units { return (h.units + 1) / 2 }

// preferred orders holders to ask: a negative result asks a before b.
func (h *holding) preferred(_, _ siskin.VMID) int { return 0 }
