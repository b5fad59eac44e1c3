package feed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
)

// storeEra returns the era of the latest list of targets, from the store or a
// peer.
func (f *Feed) storeEra() siskin.Era {
	version, _ := f.cfg.Roster.Version()
	return version.Era()
}

// rewrite writes this VM's objects again that the store lost when it returned
// from an older copy: VMs that start later rely on them.
func (f *Feed) rewrite(ctx context.Context) error {
	sleep(ctx, rand.N(maxJitter)) // all VMs notice a new era at about the same time
	return errors.Join(f.rewriteSelf(ctx), f.rewriteHolders(ctx))
}

// rewriteSelf writes this VM's object unless the store has it.
func (f *Feed) rewriteSelf(ctx context.Context) error {
	self := f.cfg.Crew.Node()
	o, err := f.cfg.Store.Get(ctx, VMKind, string(self.ID))
	var n crew.Node
	switch {
	case siskin.KindOf(err) == siskin.Conflict:
		_, err = f.cfg.Store.Create(ctx, VMKind, string(self.ID), self)
	case err == nil && (json.Unmarshal(o.Value, &n) != nil || n != self):
		_, err = f.cfg.Store.Update(ctx, VMKind, o.Name, self, o.Version)
	}
	return err
}

// rewriteHolders writes the record of share holders if this VM is one of them
// and the store lacks it. Without the record a VM that starts without contact to
// others would assign all rates to itself.
func (f *Feed) rewriteHolders(ctx context.Context) error {
	known := f.cfg.KnownHolders()
	if !slices.Contains(known, f.cfg.Crew.Self().ID) {
		return nil
	}
	o, err := f.cfg.Store.Get(ctx, holdersKind, holdersName)
	if siskin.KindOf(err) == siskin.Conflict {
		if _, err = f.cfg.Store.Create(ctx, holdersKind, holdersName, holdersRecord{known}); siskin.KindOf(err) != siskin.Conflict {
			return err
		}
		o, err = f.cfg.Store.Get(ctx, holdersKind, holdersName) // created by another VM
	}
	if err != nil {
		return err
	}
	var r holdersRecord
	if err := json.Unmarshal(o.Value, &r); err != nil || !slices.Equal(r.Holders, known) {
		// Shares that are in use cannot be taken back.
		f.cfg.Log.Error().Err(err).Int("Known", len(known)).Int("Recorded", len(r.Holders)).Msg("the record of share holders differs from the shares in use; restart all VMs")
	}
	return nil
}
