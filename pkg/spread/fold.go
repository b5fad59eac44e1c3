package spread

import (
	"context"
	"encoding/json"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

const (
	// snapshotTimeout bounds the reading of all shards, 46 MB at 23,000
	// services.
	snapshotTimeout = 30 * time.Second
	foldTimeout     = 30 * time.Second
)

// fold brings old changes of the head into the snapshot, on one VM of the
// fleet. Two VMs that both fold cost calls only: each write is conditional and
// a shard skips changes that it has.
func (s *Spread) fold(o siskin.Object) {
	h, err := decodeHead(o)
	if err != nil || len(h.Recent) < maxRecent || !s.isFolder() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, foldTimeout)
	defer cancel()
	if err := s.foldHead(ctx, o, h); err != nil {
		s.logf("folding changes into the snapshot: %v", err)
	}
}

func (s *Spread) isFolder() bool {
	first, ok := place.Best("Config/Fold", s.members.Live())
	return ok && first.ID == s.members.Self().ID
}

func (s *Spread) foldHead(ctx context.Context, o siskin.Object, h head) error {
	fold := h.Recent[:len(h.Recent)-keepRecent]
	last := fold[len(fold)-1].Revision
	first := h.Folded + 1
	all, ok := s.store.since(first - 1)
	if !ok {
		// The changes are not kept here anymore; read them.
		all = nil
		for _, ref := range fold {
			n, err := s.loadChange(ref)
			if err != nil {
				return err
			}
			all = append(all, n)
		}
	}
	var changes []Numbered
	for _, n := range all {
		if n.Revision <= last {
			changes = append(changes, n)
		}
	}
	for _, i := range shardsOf(changes) {
		if err := s.foldShard(ctx, i, changes, last); err != nil {
			return err
		}
	}
	next := head{Revision: h.Revision, Folded: last, Recent: h.Recent[len(fold):]}
	value, err := next.encode()
	if err != nil {
		return err
	}
	_, err = s.platform.Put(ctx, headName, value, o.Version, s.operation())
	if siskin.KindOf(err) == siskin.Conflict && err != nil {
		return nil // a change was accepted meanwhile; the next head is folded
	}
	return err
}

func (s *Spread) foldShard(ctx context.Context, i int, changes []Numbered, last siskin.Revision) error {
	o, err := s.platform.Get(ctx, shardName(i))
	if err != nil {
		return err
	}
	sh, err := decodeShard(o)
	if err != nil {
		return err
	}
	if sh.Revision >= last {
		return nil
	}
	for _, n := range changes {
		sh.apply(i, n)
	}
	sh.Revision = last
	value, err := json.Marshal(sh)
	if err != nil {
		return err
	}
	_, err = s.platform.Put(ctx, shardName(i), value, o.Version, s.operation())
	return err
}
