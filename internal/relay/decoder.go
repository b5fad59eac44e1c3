package relay

import (
	"encoding/binary"
	"time"

	"siskintray.example/siskin"
)

func appendString(dst []byte, s string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(s)))
	return append(dst, s...)
}

func appendBools(dst []byte, a, b bool) []byte {
	var v byte
	if a {
		v |= 1
	}
	if b {
		v |= 2
	}
	return append(dst, v)
}

// decoder reads the fields of a message between VMs. After an error, malformed
// stays set.
type decoder struct {
	b         []byte
	malformed bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.malformed, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

// duration reads a duration and limits it to a day, so that sums cannot
// overflow.
func (d *decoder) duration() time.Duration {
	return time.Duration(min(d.uint(), uint64(24*time.Hour)))
}

func (d *decoder) string() string {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.malformed, d.b = true, nil
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

func (d *decoder) bools() (a, b bool) {
	if len(d.b) == 0 || d.b[0] > 3 {
		d.malformed = true
		return false, false
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v&1 != 0, v&2 != 0
}

func (d *decoder) finish(message string) error {
	if d.malformed || len(d.b) > 0 {
		return siskin.NewError(siskin.BadInput, "%s message between VMs is malformed", message).
			WithRemedy("run the same version on all VMs")
	}
	return nil
}
