package cfgini

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a short hash of what a settings type accepts: names, units,
// defaults and bounds. Two programs with the same digest read the same files.
func Digest(settings any) string {
	h := xxhash.New()
	for _, s := range Describe(settings) {
		fmt.Fprintf(h, "%q %q %q %q %q %t %t\n", s.Name(), s.Unit, s.Default, s.Min, s.Max, s.Optional, s.Guard)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
