package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
)

// storeEra returns the era of the latest list of targets, from the store or a
// peer.
func (f *Feed) storeEra() siskin.Era {
	version, _ := f.cfg.Roster.Version()
	return version.Era()
}

// rewrite writes this VM's object again if the store lost it when it returned from
// an older copy: VMs that start later rely on it.
func (f *Feed) rewrite(ctx context.Context) error {
	sleep(ctx, rand.N(maxJitter)) // all VMs notice a new era at about the same time
	return f.rewriteSelf(ctx)
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
