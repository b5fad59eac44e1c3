package config

import "siskintray.example/siskin"

// RouteMode says what a route's transactions may do.
type RouteMode string

// Modes of a route.
const (
	ReadRoute  RouteMode = "Read"
	WriteRoute RouteMode = "Write"
)

// Route is one way to use a service. Callers pick a route by its name, since
// no SQL is parsed.
type Route struct {
	Name siskin.RouteName
	Mode RouteMode
	// MaxAge is the age of data that reads accept; zero asks for the session's
	// own writes.
	MaxAge Duration
	// Repeatable says that running a request twice does no harm.
	Repeatable bool
	// Open says that requests need no key.
	Open bool
	// OpenCustomer is the customer whose rate and burst count requests without
	// a key. It is set exactly when Open is.
	OpenCustomer siskin.CustomerID
	// Deadline is the longest time from a transaction's first message to its
	// answer.
	Deadline Duration
}
