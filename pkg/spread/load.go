package spread

import (
	"context"
	"encoding/json"

	"siskintray.example/siskin"
)

// changeObject is the value of a change object.
type changeObject struct {
	Revision  siskin.Revision
	Operation siskin.OperationID
	Documents []Document
}

// shardObject is the value of one snapshot object.
type shardObject struct{ Documents []Document }

// snapshotObject is the value of Config/Snapshot.
type snapshotObject struct{ Revision siskin.Revision }

// loadFromPlatform reads the head and installs the missing changes.
func (s *Spread) loadFromPlatform(ctx context.Context) error {
	_, _, err := s.readHead(ctx)
	return err
}

// readHead reads the head and installs the missing changes up to it.
func (s *Spread) readHead(ctx context.Context) (head, siskin.Version, error) {
	sent := s.clock.Now()
	o, err := s.platform.Get(ctx, headName)
	if err != nil {
		return head{}, 0, err
	}
	h, err := parseHead(o)
	if err != nil {
		return head{}, 0, err
	}
	if err := s.loadChanges(ctx, h); err != nil {
		return head{}, 0, err
	}
	s.recordPlatformAnswer(sent)
	return h, o.Version, nil
}

// loadChanges reads and installs the missing changes up to a head. A head older
// than the revision in force, as from a delayed response, has no effect.
func (s *Spread) loadChanges(ctx context.Context, h head) error {
	s.loadMu.Lock()
	defer s.loadMu.Unlock()
	if h.Revision <= s.Revision() {
		return nil
	}
	first := h.Revision + 1 - siskin.Revision(len(h.Recent))
	if s.Revision()+1 < first {
		if err := s.loadSnapshot(ctx, first); err != nil {
			return err
		}
	}
	for _, c := range h.Recent {
		if c.Revision <= s.Revision() {
			continue
		}
		entries, err := s.readChange(ctx, c)
		if err != nil {
			return err
		}
		s.operationHistory.recordAccepted(c.Revision, c.Operation)
		s.install(entries, c.Revision)
	}
	return nil
}

// loadSnapshot reads and installs the snapshot objects. They may hold documents
// newer than the revision that they cover, but only of accepted changes.
func (s *Spread) loadSnapshot(ctx context.Context, first siskin.Revision) error {
	o, err := s.platform.Get(ctx, snapshotName)
	if err != nil {
		return err
	}
	var snapshot snapshotObject
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &snapshot); err != nil {
			return siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
		}
	}
	if snapshot.Revision+1 < first {
		return siskin.NewError(siskin.Unavailable, "the snapshot ends at revision %d, but the head lists changes from revision %d on", snapshot.Revision, first).WithRemedy("retry to read the head again")
	}
	objects, err := s.platform.List(ctx, shardPrefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var shard shardObject
		if err := json.Unmarshal(o.Value, &shard); err != nil {
			return siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
		}
		entries, err := decodeAll(shard.Documents)
		if err != nil {
			return err
		}
		s.install(entries, 0)
	}
	s.install(nil, snapshot.Revision)
	return nil
}

// readChange reads a change object that the head lists.
func (s *Spread) readChange(ctx context.Context, c headChange) ([]*entry, error) {
	o, err := s.platform.Get(ctx, changeName(c))
	if err != nil {
		return nil, err
	}
	var change changeObject
	if err := json.Unmarshal(o.Value, &change); err != nil {
		return nil, siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
	}
	onlyAccepted.Check(change.Revision == c.Revision && change.Operation == c.Operation, "object %s holds revision %d of %s", o.Name, change.Revision, change.Operation)
	return decodeAll(change.Documents)
}
