package config

import "siskintray.example/siskin"

// Customer is the document of one customer.
type Customer struct {
	ID       siskin.CustomerID
	Revision siskin.Revision // revision that last changed the document
	// Rate and Burst count across the whole fleet and all services.
	Rate  siskin.RequestsPerSecond
	Burst siskin.Requests
	// Weight is the customer's share of a loaded queue relative to others.
	Weight   int
	Services []siskin.ServiceName
	Keys     []Key
}
