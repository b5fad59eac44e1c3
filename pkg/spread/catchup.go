package spread

import (
	"context"
	"math/rand/v2"

	"siskintray.example/siskin"
)

// catchUpPeers is the number of VMs that CatchUp queries in the VM's own data
// centre, and again in the other data centres. A single peer could have been
// paused as well and lack the newest revision.
const catchUpPeers = 2

// CatchUp fetches the documents changed since this VM's revision from several
// VMs, for instance after the process was paused. It reports whether a fetch
// succeeded before the context ended.
func (s *Spread) CatchUp(ctx context.Context) bool {
	local, remote := s.others()
	results := make(chan bool, 2*catchUpPeers)
	started := 0
	for _, vms := range [][]siskin.VM{local, remote} {
		for _, i := range rand.Perm(len(vms))[:min(len(vms), catchUpPeers)] {
			if s.submit(func() { results <- s.fetch(vms[i].ID) == nil }) {
				started++
			}
		}
	}
	succeeded := false
	for range started {
		select {
		case ok := <-results:
			succeeded = succeeded || ok
		case <-ctx.Done():
			return succeeded
		}
	}
	return succeeded
}
