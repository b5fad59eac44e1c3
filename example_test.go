package siskin_test

import (
	"fmt"

	"siskintray.example/siskin"
)

func ExamplePosition_Compare() {
	replaced := siskin.Position{Term: 3, LSN: 0x2000}
	current := siskin.Position{Term: 4, LSN: 0x1000}
	fmt.Println(replaced.Compare(current))
	// Output: -1
}
