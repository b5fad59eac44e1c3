package limit

import (
	"encoding/json"
	"fmt"

	"siskintray.example/siskin"
)

// objects is the number of platform objects that hold the records of all hash
// buckets. A VM reads and writes the records of one object together, so its
// start costs at most 256 reads and 256 conditional updates, however many
// customers it serves. It is part of the format.
const objects = 256

// object is the value of one platform object: the records of its hash buckets.
// Records are decoded only when they are used.
type object struct {
	Buckets map[int]json.RawMessage
}

func objectOf(bucket int) int { return bucket % objects }

// objectName is also the resource by which holders of its buckets are ranked,
// so that one VM reclaims all buckets with the same holders by one update.
func objectName(o int) siskin.ObjectName {
	return siskin.ObjectName(fmt.Sprintf("Limit/Bucket/%03d", o))
}

// parseObject decodes an object. It refuses the earlier format of one record
// an object, since VMs of both formats would grant the same rights twice.
func parseObject(value []byte) (object, error) {
	var o object
	if err := json.Unmarshal(value, &o); err != nil {
		return object{}, badRecord("is not valid JSON").WithCause(err)
	}
	if o.Buckets == nil {
		return object{}, badRecord("is of another format")
	}
	return o, nil
}

// record returns the record of a bucket, with epoch 0 when there is none.
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
