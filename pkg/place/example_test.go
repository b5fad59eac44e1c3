package place_test

import (
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

func ExampleBest() {
	vms := []siskin.VM{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}}
	home, _ := place.Best("ledger/1/slot-0", vms)
	again, _ := place.Best("ledger/1/slot-0", []siskin.VM{vms[2], vms[0], vms[1]})
	fmt.Println(home.ID == again.ID)
	// Output: true
}
