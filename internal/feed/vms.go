package feed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
)

// register writes this VM's object to the store, retrying until it succeeds, and
// again if the store loses it. It looks for other VMs while this one has no
// contact with any.
func (f *Feed) register(ctx context.Context) {
	self := f.cfg.Crew.Node()
	backoff := minBackoff
	var written siskin.Era // in which the store has this VM's objects
	for ctx.Err() == nil {
		version, err := f.publish(ctx, self)
		if err == nil {
			written = version.Era()
			break
		}
		f.recordFailure("VMs", err)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	// Further VMs announce themselves with their pings.
	for ctx.Err() == nil {
		sleep(ctx, aloneReadInterval)
		if era := f.storeEra(); era > written {
			if err := f.rewrite(ctx); err == nil {
				written = era
			} else if ctx.Err() == nil {
				f.recordFailure("own objects", err)
			}
		}
		if len(f.cfg.Crew.Live()) < 2 {
			if _, err := f.readVMs(ctx); err != nil && ctx.Err() == nil {
				f.recordFailure("VMs", err)
			}
		}
	}
}

// publish creates this VM's object, or overwrites the one of an earlier run.
func (f *Feed) publish(ctx context.Context, self crew.Node) (siskin.Version, error) {
	version, err := f.cfg.Store.Create(ctx, VMKind, string(self.ID), self)
	if siskin.KindOf(err) != siskin.Conflict {
		return version, err
	}
	o, err := f.cfg.Store.Get(ctx, VMKind, string(self.ID))
	if err != nil {
		return 0, err
	}
	return f.cfg.Store.Update(ctx, VMKind, o.Name, self, o.Version)
}

// readVMs reads the objects of all VMs.
func (f *Feed) readVMs(ctx context.Context) (siskin.Listing, error) {
	l, err := f.cfg.Store.List(ctx, VMKind)
	var bad error
	for _, o := range l.Objects {
		var n crew.Node
		if err := json.Unmarshal(o.Value, &n); err != nil {
			bad = errors.Join(bad, err)
			continue
		}
		f.cfg.Crew.Learn(n)
	}
	if bad != nil {
		f.cfg.Log.Warn().Err(bad).Msg("skipping store objects that cannot be decoded as VMs")
	}
	return l, err
}
