package spread

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

const (
	// shardCount splits the snapshot: 23,000 services of 2 KB make shards of
	// 180 KB, below the platform's 1 MB.
	shardCount                    = 256
	shardPrefix siskin.ObjectName = "Config/Shard/"
	// maxRecent is the number of changes in the head from which they are folded
	// into the snapshot, and keepRecent the number that stays, so that watchers
	// find the latest changes without reading shards.
	maxRecent  = 64
	keepRecent = 16
)

// snapshotShard is a part of the snapshot, up to a revision of its own.
type snapshotShard struct {
	Revision  siskin.Revision
	Services  map[siskin.ServiceName]*config.Service
	Customers map[siskin.CustomerID]*config.Customer
}

func shardName(i int) siskin.ObjectName {
	return siskin.ObjectName(fmt.Sprintf("%s%03d", shardPrefix, i))
}

func shardOf(kind, name string) int { return int(xxhash.Sum64String(kind+"/"+name) % shardCount) }

func serviceShard(name siskin.ServiceName) int { return shardOf("Service", string(name)) }

func customerShard(id siskin.CustomerID) int { return shardOf("Customer", string(id)) }

func decodeShard(o siskin.Object) (*snapshotShard, error) {
	sh := &snapshotShard{
		Services:  make(map[siskin.ServiceName]*config.Service),
		Customers: make(map[siskin.CustomerID]*config.Customer),
	}
	if o.Version == 0 {
		return sh, nil
	}
	if err := json.Unmarshal(o.Value, sh); err != nil {
		return nil, siskin.NewError(siskin.Internal, "object %s is not a part of a snapshot", o.Name).
			WithRemedy("restore the object from the platform's history").WithCause(err)
	}
	return sh, nil
}

// apply brings in the documents of a change that belong to shard i. A shard
// that has the change already is left as it is.
func (sh *snapshotShard) apply(i int, n Numbered) {
	if n.Revision <= sh.Revision {
		return
	}
	for _, name := range n.Change.DeleteServices {
		if serviceShard(name) == i {
			delete(sh.Services, name)
		}
	}
	for _, id := range n.Change.DeleteCustomers {
		if customerShard(id) == i {
			delete(sh.Customers, id)
		}
	}
	for _, doc := range n.Change.Services {
		if serviceShard(doc.Name) == i {
			sh.Services[doc.Name] = doc
		}
	}
	for _, doc := range n.Change.Customers {
		if customerShard(doc.ID) == i {
			sh.Customers[doc.ID] = doc
		}
	}
}

// shardsOf returns the shards that changes touch, in order.
func shardsOf(changes []Numbered) []int {
	touched := make(map[int]bool)
	for _, n := range changes {
		for _, name := range n.Change.DeleteServices {
			touched[serviceShard(name)] = true
		}
		for _, id := range n.Change.DeleteCustomers {
			touched[customerShard(id)] = true
		}
		for _, doc := range n.Change.Services {
			touched[serviceShard(doc.Name)] = true
		}
		for _, doc := range n.Change.Customers {
			touched[customerShard(doc.ID)] = true
		}
	}
	return slices.Sorted(maps.Keys(touched))
}

// loadSnapshot reads all shards and the changes after them. A shard may be
// ahead of the head's Folded, so changes are brought in shard by shard.
func (s *Spread) loadSnapshot(h head) error {
	ctx, cancel := context.WithTimeout(s.ctx, snapshotTimeout)
	defer cancel()
	objects, err := s.platform.List(ctx, shardPrefix)
	if err != nil {
		return err
	}
	shards := make([]*snapshotShard, shardCount)
	for _, o := range objects {
		var i int
		if _, err := fmt.Sscanf(string(o.Name[len(shardPrefix):]), "%d", &i); err != nil || i < 0 || i >= shardCount {
			continue
		}
		if shards[i], err = decodeShard(o); err != nil {
			return err
		}
	}
	var recent []Numbered
	for _, ref := range h.Recent {
		n, err := s.loadChange(ref)
		if err != nil {
			return err
		}
		recent = append(recent, n)
	}
	all := &config.Change{}
	for i, sh := range shards {
		if sh == nil {
			sh, _ = decodeShard(siskin.Object{}) // an absent object is an empty shard
		}
		for _, n := range recent {
			sh.apply(i, n)
		}
		all.Services = slices.AppendSeq(all.Services, maps.Values(sh.Services))
		all.Customers = slices.AppendSeq(all.Customers, maps.Values(sh.Customers))
	}
	s.store.replace(h.Revision, all)
	return nil
}

// loadChange reads the object of a change.
func (s *Spread) loadChange(ref changeRef) (Numbered, error) {
	ctx, cancel := context.WithTimeout(s.ctx, platformTimeout)
	defer cancel()
	o, err := s.platform.Get(ctx, ref.Name)
	if err != nil {
		return Numbered{}, err
	}
	if o.Version != ref.Version {
		return Numbered{}, siskin.NewError(siskin.Conflict, "change %d has version %d, the head names %d", ref.Revision, o.Version, ref.Version).
			WithRemedy("read the head again")
	}
	change, err := config.DecodeChange(o.Value)
	if err != nil {
		return Numbered{}, err
	}
	change.SetRevision(ref.Revision)
	return Numbered{Revision: ref.Revision, Change: change}, nil
}
