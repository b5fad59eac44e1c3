package spread

import (
	"fmt"
	"time"

	"siskintray.example/siskin"
)

// soakCounts holds the statistics of a soak run.
type soakCounts struct {
	accepted, refused, unknown int // changes
	faults, restarts           int
	checkedRevision            siskin.Revision // latest revision checked against maxSpreadTime under faults
	slowestSpread              time.Duration   // longest spread of a change to all VMs after the faults
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

// String formats the counts for the test log.
func (c soakCounts) String() string {
	return fmt.Sprintf("%d changes accepted, %d refused, %d unknown; %d faults, %d restarts; %d revisions checked against the bound under faults; slowest spread after them %v",
		c.accepted, c.refused, c.unknown, c.faults, c.restarts, c.checkedRevision, c.slowestSpread.Round(time.Millisecond))
}
