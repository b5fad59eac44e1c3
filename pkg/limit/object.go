package limit

import (
	"encoding/json"
	"fmt"

	"siskintray.example/siskin"
)

// objects is the number of platform objects that store the records of all hash
// buckets. A VM reads and writes all records of an object together, so its
// start costs at most 256 reads and 256 conditional updates for any number of
// customers. It is part of the storage format.
const objects = 256

// object is the value of one platform object: the records of its hash buckets.
// A record is decoded only when it is used.
type object struct {
	Buckets map[int]json.RawMessage
}

func objectOf(bucket int) int { return bucket % objects }

// objectName returns the name of an object. It is also the resource by which
// the holders of its buckets are ranked, so that one VM reclaims all buckets
// with the same holders by one update.
func objectName(o int) siskin.ObjectName {
	return siskin.ObjectName(fmt.Sprintf("Limit/Bucket/%03d", o))
}

// parseObject decodes an object. It rejects the earlier format of one record
// per object, since VMs that use different formats would grant the same units
// twice.
func parseObject(value []byte) (object, error) {
	var o object
	if err := json.Unmarshal(value, &o); err != nil {
		return object{}, badRecord("is not valid JSON").WithCause(err)
	}
	if o.Buckets == nil {
		return object{}, badRecord("has an unsupported format")
	}
	return o, nil
}

// record returns the record of a bucket. Its epoch is 0 if there is none.
func (o *object) record(bucket int) (record, error) {
	value, ok := o.Buckets[bucket]
	if !ok {
		return record{}, nil
	}
	return parseRecord(value)
}

func (o *object) set(bucket int, r *record) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	if o.Buckets == nil {
		o.Buckets = make(map[int]json.RawMessage)
	}
	o.Buckets[bucket] = value
	return nil
}
