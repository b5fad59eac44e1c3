package spread_test

import (
	"fmt"

	"siskintray.example/siskin/pkg/spread"
)

// A VM asks another one for what it lacks by its revision.
func ExampleSinceArgs() {
	args := spread.SinceArgs{Revision: 41}
	fmt.Printf("%+v\n", args)
	// Output: {Revision:41}
}
