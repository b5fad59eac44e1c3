package spread

import (
	"fmt"
	"time"

	"siskintray.example/siskin"
)

// soakCounts says what happened in a long run.
type soakCounts struct {
	accepted, refused, unknown int // changes
	faults, restarts           int
	checkedRevision            siskin.Revision // latest revision that was checked against the bound under faults
	slowestSpread              time.Duration   // until a change was in force everywhere after the faults
}

func (c *soakCounts) add(o soakCounts) {
	c.accepted += o.accepted
	c.refused += o.refused
	c.unknown += o.unknown
	c.faults += o.faults
	c.restarts += o.restarts
	c.checkedRevision += o.checkedRevision
	c.slowestSpread = max(c.slowestSpread, o.slowestSpread)
}

// String returns the counts as text.
func (c soakCounts) String() string {
	return fmt.Sprintf("%d changes accepted, %d refused, %d unknown; %d faults, %d restarts; %d revisions checked against the bound under faults; slowest spread after them %v",
		c.accepted, c.refused, c.unknown, c.faults, c.restarts, c.checkedRevision, c.slowestSpread.Round(time.Millisecond))
}
