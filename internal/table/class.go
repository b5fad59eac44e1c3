package table

import (
	"slices"

	"siskintray.example/siskin"
)

// assignClasses sets the class of each route to the rank of its priority among
// the distinct ones. With more priorities than classes, neighbouring ones share
// a class. It reports whether there is more than one class.
func assignClasses(routes []siskin.RouteSpec) bool {
	var distinct []int
	for i := range routes {
		distinct = append(distinct, routes[i].Priority)
	}
	slices.Sort(distinct)
	distinct = slices.Compact(distinct)
	for i := range routes {
		class, _ := slices.BinarySearch(distinct, routes[i].Priority)
		if n := len(distinct); n > siskin.PriorityClasses {
			class = class * siskin.PriorityClasses / n
		}
		routes[i].Class = siskin.PriorityClass(class)
	}
	return len(distinct) > 1
}
