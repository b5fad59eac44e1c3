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
	"siskintray.example/siskin/internal/quota"
	"siskintray.example/siskin/pkg/place"
)

// rightsKind and rightsName name the record of the VMs that share the customers'
// rates.
const (
	rightsKind = siskin.ObjectKind("rights")
	rightsName = "main"
)

const (
	// createDelay is the time after which a VM creates the record if there is
	// none. All VMs of a new fleet start within 300 ms and register at once.
	createDelay = 3 * time.Second
	// rightsPeerWait is how long a VM waits for its peers to send the record.
	// Meanwhile it is read from the store by the seeds, which all read when
	// they start, and by the VM with the smallest ID.
	rightsPeerWait = 6 * time.Second
	// rightsReadInterval is the least time between two reads while the record
	// is missing.
	rightsReadInterval = time.Second
	// rightsMaxAge is the age of the last read at which a VM reads the record
	// again. Peers pass the result on.
	rightsMaxAge = quota.RightsDuration / 4
	// rightsCheckInterval is the time between two checks whether the record has
	// to be read or written.
	rightsCheckInterval = time.Second
)

// rightsRecord is the value of the record.
type rightsRecord struct {
	// Holders are the holders of the slots, for VMs of earlier versions.
	Holders []siskin.VMID
	// Slots and Era are missing in a record of an earlier version.
	Slots []quota.Slot `json:",omitempty"`
	Era   siskin.Era   `json:",omitempty"`
}

func newRightsRecord(slots []quota.Slot, era siskin.Era) rightsRecord {
	r := rightsRecord{Slots: slots, Era: era}
	for i := range slots {
		r.Holders = append(r.Holders, slots[i].Holder)
	}
	return r
}

// rights returns the rights that a record of the given version states.
func (r *rightsRecord) rights(version siskin.Version) quota.Rights {
	rights := quota.Rights{Version: version, Era: max(r.Era, siskin.FirstEra), Slots: r.Slots}
	if len(r.Slots) == 0 {
		for _, id := range r.Holders {
			rights.Slots = append(rights.Slots, quota.Slot{Holder: id})
		}
	}
	return rights
}

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

// keepRights learns who holds the shares of the rates when this VM starts, and
// keeps that knowledge and the record up to date.
func (f *Feed) keepRights(ctx context.Context) {
	f.loadRights(ctx)
	jitter := rand.N(maxJitter)
	k := f.newRightsKeeper()
	for ctx.Err() == nil {
		var err error
		r, read := f.cfg.Rights.Rights()
		live := k.live()
		keeps := len(live) > 0 && live[0].ID == f.cfg.Crew.Self().ID
		switch {
		case f.cfg.Rights.NeedsRead(), f.cfg.Clock.Since(read) > rightsMaxAge+jitter:
			err = f.readRights(ctx)
			if siskin.KindOf(err) == siskin.Conflict && keeps && !r.Restored() {
				// The object was deleted. Its shares are in use.
				_, err = f.cfg.Store.Create(ctx, rightsKind, rightsName, newRightsRecord(r.Slots, r.Era))
			}
		case keeps:
			err = k.update(ctx, live)
		default:
			clear(k.missing)
		}
		interval := rightsCheckInterval
		switch needed := f.cfg.Rights.NeedsRead(); {
		case err != nil && ctx.Err() == nil:
			f.recordFailure(string(rightsKind), err)
			if !needed {
				interval = rightsWriteInterval
			}
		case needed:
			interval = pollInterval
		}
		sleep(ctx, interval+rand.N(interval/4))
	}
}

// readRights reads the record and applies it. An error of kind Conflict means
// that there is none.
func (f *Feed) readRights(ctx context.Context) error {
	startedAt := f.cfg.Clock.Now()
	o, err := f.cfg.Store.Get(ctx, rightsKind, rightsName)
	if err != nil {
		return err
	}
	f.recordSuccess()
	var r rightsRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return siskin.NewError(siskin.BadInput, "cannot decode the record of share holders").WithCause(err).WithRemedy("delete the object rights/main and restart all VMs")
	}
	f.cfg.Rights.SetRights(r.rights(o.Version), startedAt)
	return nil
}

// loadRights waits for the record from the peers, reads it, or creates it from the
// known VMs.
func (f *Feed) loadRights(ctx context.Context) {
	start := f.cfg.Clock.Now()
	for ctx.Err() == nil && !f.knowsRights() {
		live := f.cfg.Crew.Live()
		reads := f.cfg.Crew.IsSeed() || len(live) > 1 && live[0].ID == f.cfg.Crew.Self().ID
		if !reads && f.cfg.Clock.Since(start) < rightsPeerWait {
			sleep(ctx, pollInterval)
			continue
		}
		err := f.readRights(ctx)
		missing := siskin.KindOf(err) == siskin.Conflict
		switch {
		case err == nil:
			return
		case !missing:
			f.recordFailure(string(rightsKind), err)
		}
		// A VM that has not found any other yet must not assign all rates to
		// itself.
		alone := len(f.cfg.Crew.Live()) < 2 && f.cfg.Clock.Since(start) < rightsPeerWait
		if missing && f.cfg.Clock.Since(start) > createDelay && !alone {
			// The next read shows the record, whether this VM or another
			// created it.
			if err = f.createRights(ctx); err == nil {
				continue
			}
			f.cfg.Log.Info().Err(err).Msg("did not create the record of share holders")
			if siskin.KindOf(err) == siskin.Conflict { // another VM has just created it
				sleep(ctx, pollInterval)
				continue
			}
		}
		sleep(ctx, rightsReadInterval+rand.N(rightsReadInterval/4))
	}
}

func (f *Feed) knowsRights() bool {
	r, _ := f.cfg.Rights.Rights()
	return r.Version != 0
}

// createRights creates the record with a slot for each of the known VMs.
func (f *Feed) createRights(ctx context.Context) error {
	var list []quota.Slot
	for _, id := range chooseHolders(f.cfg.Crew.Nodes()) {
		list = append(list, quota.Slot{Holder: id, Bounded: f.cfg.Crew.BoundsRights(id)})
	}
	_, err := f.cfg.Store.Create(ctx, rightsKind, rightsName, newRightsRecord(list, f.storeEra()))
	return err
}

// writeRights replaces the record of the given version and applies the new one.
func (f *Feed) writeRights(ctx context.Context, list []quota.Slot, ifVersion siskin.Version) error {
	startedAt, era := f.cfg.Clock.Now(), ifVersion.Era()
	version, err := f.cfg.Store.Update(ctx, rightsKind, rightsName, newRightsRecord(list, era), ifVersion)
	if err != nil {
		return err
	}
	f.cfg.Rights.SetRights(quota.Rights{Version: version, Era: era, Slots: list}, startedAt)
	return nil
}
