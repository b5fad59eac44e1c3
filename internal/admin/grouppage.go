package admin

import "siskintray.example/siskin"

// GroupPage is a part of the list of groups, ordered by service.
type GroupPage struct {
	Groups []GroupStatus
	// Missing are the services of this part whose group could not be read.
	Missing []MissingGroup `json:",omitempty"`
	// Total is the number of services that match, on all pages.
	Total int
	// Next is the service to give as From for the next part; empty at the end.
	Next siskin.ServiceName `json:",omitempty"`
}

// MissingGroup says why a group is missing from a list.
type MissingGroup struct {
	Service siskin.ServiceName
	Kind    string
	Message string
}
