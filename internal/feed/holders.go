package feed

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/pkg/place"
)

// holdersKind and holdersName name the record of the VMs that share the
// customers' rates.
const (
	holdersKind = siskin.ObjectKind("rights")
	holdersName = "main"
)

const (
	// createDelay is the time after which a VM creates the record if there is
	// none. All VMs of a new fleet start within 300 ms and register at once.
	createDelay = 3 * time.Second
	// holdersPeerWait is how long a VM waits for its peers to send the record.
	// Meanwhile it is read from the store by the seeds, which all read when
	// they start, and by the VM with the smallest ID.
	holdersPeerWait = 6 * time.Second
	// holdersReadInterval is the least time between two reads while the record
	// is missing.
	holdersReadInterval = time.Second
)

// holdersRecord is the value of the record. It never changes, since a holder
// that is cut off may use its share at any time.
type holdersRecord struct{ Holders []siskin.VMID }

// maxHolders limits the VMs that hold shares. Each exchanges loans with the
// owners of the pools several times a second, and a fraction of a token admits
// nothing.
const maxHolders = 36

// chooseHolders returns the VMs that will hold shares, spread evenly over the
// data centres.
func chooseHolders(nodes []crew.Node) []siskin.VMID {
	slices.SortFunc(nodes, func(a, b crew.Node) int {
		return cmp.Or(cmp.Compare(place.Tier(b.Capacity), place.Tier(a.Capacity)), cmp.Compare(place.Score("holders", b.ID), place.Score("holders", a.ID)))
	})
	var ids []siskin.VMID
	for round := 0; len(ids) < min(maxHolders, len(nodes)); round++ {
		taken := make(map[siskin.DataCentreID]int)
		for _, n := range nodes {
			if taken[n.DataCentre]++; taken[n.DataCentre] == round+1 && len(ids) < maxHolders {
				ids = append(ids, n.ID)
			}
		}
	}
	return ids
}

// loadHolders reads the record, or creates it from the known VMs.
func (f *Feed) loadHolders(ctx context.Context) {
	start := f.cfg.Clock.Now()
	for ctx.Err() == nil && f.cfg.KnownHolders() == nil {
		live := f.cfg.Crew.Live()
		reads := f.cfg.Crew.IsSeed() || len(live) > 1 && live[0].ID == f.cfg.Crew.Self().ID
		if !reads && f.cfg.Clock.Since(start) < holdersPeerWait {
			sleep(ctx, pollInterval)
			continue
		}
		l, err := f.cfg.Store.List(ctx, holdersKind)
		if err != nil {
			f.recordFailure(string(holdersKind), err)
		}
		for _, o := range l.Objects {
			var r holdersRecord
			if o.Name != holdersName {
				continue
			}
			if err := json.Unmarshal(o.Value, &r); err != nil {
				f.cfg.Log.Error().Err(err).Msg("cannot decode the record of share holders; this VM holds no shares")
				return
			}
			f.cfg.OnHolders(r.Holders)
			return
		}
		// A VM that has not found any other yet must not assign all rates to
		// itself.
		alone := len(f.cfg.Crew.Live()) < 2 && f.cfg.Clock.Since(start) < holdersPeerWait
		if err == nil && f.cfg.Clock.Since(start) > createDelay && !alone {
			r := holdersRecord{chooseHolders(f.cfg.Crew.Nodes())}
			// The next read shows the record, whether this VM or another
			// created it.
			if _, err = f.cfg.Store.Create(ctx, holdersKind, holdersName, r); err == nil {
				continue
			}
			f.cfg.Log.Info().Err(err).Msg("did not create the record of share holders")
			if siskin.KindOf(err) == siskin.Conflict { // another VM has just created it
				sleep(ctx, pollInterval)
				continue
			}
		}
		sleep(ctx, holdersReadInterval+rand.N(holdersReadInterval/4))
	}
}
