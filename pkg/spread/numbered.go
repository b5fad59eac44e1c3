package spread

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Numbered is an accepted change with the revision that it became.
type Numbered struct {
	Revision siskin.Revision
	Change   *config.Change
}
