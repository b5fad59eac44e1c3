package netem

import "siskintray.example/siskin"

// link is an ordered pair of host names or data centres.
type link struct{ from, to string }

// ends names both ends of a connection.
type ends struct {
	fromHost, toHost string
	fromDC, toDC     siskin.DataCentreID
}
