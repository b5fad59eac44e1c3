package limit

import (
	"encoding/json"
	"slices"

	"siskintray.example/siskin"
)

// buckets is the number of hash buckets. It is part of the storage format: all
// VMs must agree on the bucket of a customer. With 23,000 customers, a bucket
// in use has 1.2 customers on average, so that its holders are little more
// than the VMs that admit requests of one customer, and a reclaim waits for
// few others.
const buckets = 1 << 16

// holderID identifies one incarnation of a VM as a holder.
type holderID struct {
	VM          siskin.VMID
	Incarnation siskin.Incarnation
}

// record is the state of one hash bucket that the platform stores.
type record struct {
	Epoch uint64
	// Reporting is true until all holders of the epoch have reported.
	Reporting bool
	// Holders lists every VM that may hold units of the bucket. A VM adds
	// itself before it accepts units.
	Holders []holderID
	// Grants are the units granted in this epoch. They are void in the next.
	Grants []grant
}

// grant assigns units to one incarnation, which applies them once.
type grant struct {
	To holderID
	// Rest is the units granted for each customer that is not in Customers.
	Rest      siskin.QuotaUnits
	Customers map[siskin.CustomerID]siskin.QuotaUnits `json:",omitempty"`
	// Full is true if the token buckets start full. Only initial grants set
	// it, so that a burst is never counted twice.
	Full bool
}

func (r *record) holds(id holderID) bool { return slices.Contains(r.Holders, id) }

func (r *record) encode() ([]byte, error) { return json.Marshal(r) }

// parseRecord decodes a record and validates its grants.
func parseRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, badRecord("is not valid JSON").WithCause(err)
	}
	if r.Epoch == 0 {
		return record{}, badRecord("has no epoch")
	}
	var rest siskin.QuotaUnits
	sums := make(map[siskin.CustomerID]siskin.QuotaUnits)
	for _, g := range r.Grants {
		if g.Rest < 0 || g.Rest > siskin.TotalQuotaUnits {
			return record{}, badRecord("grants %d units", g.Rest)
		}
		rest += g.Rest
		for id, u := range g.Customers {
			if u < 0 || u > siskin.TotalQuotaUnits {
				return record{}, badRecord("grants %d units", u)
			}
			sums[id] += u
			if sums[id] > siskin.TotalQuotaUnits {
				return record{}, badRecord("grants %d units to one customer", sums[id])
			}
		}
	}
	if rest > siskin.TotalQuotaUnits {
		return record{}, badRecord("grants %d units", rest)
	}
	return r, nil
}

func badRecord(format string, args ...any) *siskin.Error {
	return siskin.NewError(siskin.BadInput, "record of a limit bucket "+format, args...).
		WithRemedy("manually restore the Limit/Bucket object from before the last change")
}
