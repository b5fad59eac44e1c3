package config_test

import (
	"fmt"

	"siskintray.example/siskin/pkg/config"
)

func ExampleDiff() {
	before := &config.Customer{ID: "school-a", Rate: 10, Burst: 20, Weight: 1}
	after := *before
	after.Rate = 20
	view := config.NewStaticView(nil, []*config.Customer{before})
	change := &config.Change{Base: 1, Customers: []*config.Customer{&after}}
	if err := config.Validate(view, change).Err(); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Print(config.Diff(view, config.NewOverlay(view, change)).Text())
	// Output:
	// ~ Customer/school-a
	//     ~ Rate: 10 -> 20
}
