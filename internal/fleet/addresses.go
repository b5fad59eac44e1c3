package fleet

import "siskintray.example/siskin"

// Addresses tells where the stand-ins of a deployment listen.
type Addresses struct {
	Platform      string
	PlatformAdmin string
	Targets       map[siskin.ServiceName][]TargetAddress
}

// TargetAddress tells where one target listens. Admin is empty without an
// admin listener.
type TargetAddress struct {
	ID             siskin.TargetID
	Address, Admin string
}
