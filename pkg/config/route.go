package config

import "siskintray.example/siskin"

// RouteMode is the access mode of a route's transactions.
type RouteMode string

// Modes of a route.
const (
	ReadRoute  RouteMode = "Read"
	WriteRoute RouteMode = "Write"
)

// Route is a named way to access a service. Callers select a route by name,
// since no SQL is parsed.
type Route struct {
	Name siskin.RouteName
	Mode RouteMode
	// MaxAge is the maximum staleness that reads accept; zero means that reads
	// see the session's own writes.
	MaxAge Duration
	// Repeatable means that a request may safely be executed twice.
	Repeatable bool
	// Open means that requests need no key.
	Open bool
	// OpenCustomer is the customer whose rate and burst apply to requests
	// without a key. It is set if and only if Open is.
	OpenCustomer siskin.CustomerID
	// Deadline is the longest time from a transaction's first message to its
	// answer.
	Deadline Duration
}
