package burn_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/burn"
)

func Example() {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC))
	r := burn.New(clock, siskin.VM{ID: "vm-1", DataCentre: "turku-1"})
	for i := range 1000 {
		r.Transaction("ledger-a", "shop", burn.Result{Failed: i < 3, Kind: siskin.Overloaded, Latency: time.Millisecond})
	}
	report := burn.Evaluate(r.Record(), nil)
	o := report.Series[0].Objectives[0]
	fmt.Println(report.Series[0].Name, o.Name, o.Burns[0].Bad, "of", o.Burns[0].Total, "burn", o.Burns[0].Text())
	// Output: ledger-a Availability 3 of 1000 burn 3.00
}
