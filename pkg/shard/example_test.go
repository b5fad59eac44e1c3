package shard_test

import (
	"fmt"

	"siskintray.example/siskin/pkg/shard"
)

func ExampleMap_Update() {
	counts := shard.New[string, int]()
	for range 3 {
		counts.Update("vm-1", func(old int, _ bool) (int, bool) { return old + 1, true })
	}
	n, _ := counts.Get("vm-1")
	fmt.Println(n)
	// Output: 3
}
