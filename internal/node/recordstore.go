package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

var recordNeverReverts = invar.New("PrimaryRecordNeverReverts")

// primaryRecord is the platform's record of a group's primary, the value of the
// object "Group/SERVICE".
type primaryRecord struct {
	Term       siskin.Term
	Primary    siskin.TargetID
	RecordedBy siskin.VMID
}

// recordStore reads and writes records at the platform.
type recordStore struct {
	platform   siskin.Platform // nil without a platform
	self       siskin.VM
	operations atomic.Uint64
}

func recordName(service siskin.ServiceName) siskin.ObjectName {
	return siskin.ObjectName("Group/" + string(service))
}

// advance sets the record to the primary of the term unless the record already
// has the same or a later term. It returns the term of the record. An update
// that loses a race with another VM's fails with kind Conflict.
func (s *recordStore) advance(ctx context.Context, service siskin.ServiceName, term siskin.Term, primary siskin.TargetID) (siskin.Term, error) {
	name := recordName(service)
	o, err := s.platform.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	var old primaryRecord
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &old); err != nil {
			return 0, siskin.NewError(siskin.Internal, "object %s holds no record of a primary", name).
				WithRemedy("delete the object; it is written again").WithCause(err)
		}
	}
	if old.Term >= term {
		return old.Term, nil
	}
	value, err := json.Marshal(primaryRecord{Term: term, Primary: primary, RecordedBy: s.self.ID})
	if err != nil {
		return 0, err
	}
	recordNeverReverts.Check(term > old.Term, "group %s: record of term %d after %d", service, term, old.Term)
	op := fmt.Sprintf("primary-%s-%d-%d", s.self.ID, s.self.Incarnation, s.operations.Add(1))
	if _, err := s.platform.Put(ctx, name, value, o.Version, siskin.OperationID(op)); err != nil {
		return 0, err
	}
	return term, nil
}
