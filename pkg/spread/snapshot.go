package spread

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// snapshotCheckInterval is the time between two checks whether the snapshot has
// to be rewritten.
const snapshotCheckInterval = 5 * time.Second

// snapshotLoop rewrites the snapshot in the background.
func (s *Spread) snapshotLoop() {
	covered := siskin.Revision(0)
	for {
		select {
		case <-s.clock.After(snapshotCheckInterval):
		case <-s.ctx.Done():
			return
		}
		covered = s.writeSnapshotIfDue(covered)
	}
}

// writeSnapshotIfDue rewrites the snapshot if enough changes have accumulated.
// It returns the revision that the snapshot covers as far as this VM knows.
func (s *Spread) writeSnapshotIfDue(covered siskin.Revision) siskin.Revision {
	threshold, ok := s.snapshotThreshold()
	if !ok || s.Revision() < covered+threshold {
		return covered
	}
	if rev, err := s.writeSnapshot(s.ctx); err == nil {
		return rev
	}
	return covered
}

// snapshotThreshold returns the number of changes after which this VM rewrites
// the snapshot, and reports whether this VM may rewrite it. The first VM in rank
// has the lowest threshold. The next two have higher ones, so that they rewrite
// the snapshot only if the VMs ranked before them cannot reach the platform.
func (s *Spread) snapshotThreshold() (siskin.Revision, bool) {
	const writers = 3
	self := s.members.Self().ID
	for i, vm := range place.Rank("Spread/Snapshot", s.members.Live()) {
		if i >= writers {
			break
		}
		if vm.ID == self {
			return s.cfg.SnapshotEvery << (2 * i), true
		}
	}
	return 0, false
}

// snapshotRevision returns the revision that the snapshot covers.
func (s *Spread) snapshotRevision(ctx context.Context) (siskin.Revision, error) {
	snapshot, _, err := s.readSnapshotObject(ctx)
	return snapshot.Revision, err
}

func (s *Spread) readSnapshotObject(ctx context.Context) (snapshotObject, siskin.Version, error) {
	var snapshot snapshotObject
	o, err := s.platform.Get(ctx, snapshotName)
	if err != nil || o.Version == 0 {
		return snapshot, 0, err
	}
	if err := json.Unmarshal(o.Value, &snapshot); err != nil {
		return snapshot, 0, siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
	}
	return snapshot, o.Version, nil
}

// writeSnapshot rewrites the shards that have documents newer than the snapshot,
// and then the revision that it covers. Concurrent writers are safe: shards are
// merged, and the revision never decreases.
func (s *Spread) writeSnapshot(ctx context.Context) (siskin.Revision, error) {
	rev := s.Revision()
	snapshot, version, err := s.readSnapshotObject(ctx)
	if err != nil {
		return 0, err
	}
	if rev < snapshot.Revision+s.cfg.SnapshotEvery {
		return snapshot.Revision, nil
	}
	for i := range shardCount {
		if !s.changedSince(i, snapshot.Revision) {
			continue
		}
		if err := s.writeShard(ctx, i); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(snapshotObject{rev})
	if err != nil {
		return 0, siskin.NewError(siskin.Internal, "cannot encode the snapshot").WithCause(err)
	}
	_, err = s.platform.Put(ctx, snapshotName, value, version, s.newOperationID("Snapshot", rev))
	return rev, err
}

func (s *Spread) changedSince(shard int, rev siskin.Revision) bool {
	for _, e := range s.shardEntries(shard) {
		if e.Revision > rev {
			return true
		}
	}
	return false
}

// writeShard merges the documents of one shard into its object.
func (s *Spread) writeShard(ctx context.Context, index int) error {
	name := siskin.ObjectName(fmt.Sprintf("%s%02x", shardPrefix, index))
	o, err := s.platform.Get(ctx, name)
	if err != nil {
		return err
	}
	var shard shardObject
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &shard); err != nil {
			return siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
		}
	}
	merged := make(map[key]Document)
	for _, d := range shard.Documents {
		merged[d.key()] = d
	}
	for k, e := range s.shardEntries(index) {
		if e.Revision >= merged[k].Revision {
			merged[k] = e.Document
		}
	}
	shard.Documents = shard.Documents[:0]
	for _, d := range merged {
		shard.Documents = append(shard.Documents, d)
	}
	slices.SortFunc(shard.Documents, func(a, b Document) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	value, err := json.Marshal(shard)
	if err != nil {
		return siskin.NewError(siskin.Internal, "cannot encode object %s", name).WithCause(err)
	}
	_, err = s.platform.Put(ctx, name, value, o.Version, s.newOperationID("Shard", s.Revision()))
	return err
}

// newOperationID returns an id for an internal update by this VM, as opposed to
// an operator's change.
func (s *Spread) newOperationID(purpose string, rev siskin.Revision) siskin.OperationID {
	self := s.members.Self()
	return siskin.OperationID(fmt.Sprintf("%s/%s/%d/%d/%d", purpose, self.ID, self.Incarnation, rev, s.clock.Now().UnixNano()))
}
