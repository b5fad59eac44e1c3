package config

import "siskintray.example/siskin"

// Customer is the document of one customer.
type Customer struct {
	ID       siskin.CustomerID
	Revision siskin.Revision // revision that last changed the document
	// Rate and Burst limit the customer's requests to all services across the
	// whole fleet.
	Rate  siskin.RequestsPerSecond
	Burst siskin.Requests
	// Weight is the customer's share of a backlogged queue relative to other
	// customers.
	Weight   int
	Services []siskin.ServiceName
	Keys     []Key
}
