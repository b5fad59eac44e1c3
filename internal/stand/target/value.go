package target

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"

	"siskintray.example/siskin"
)

// column describes one result column. The types in use are text, int4 and int8.
type column struct {
	name string
	oid  uint32
}

// encode returns value, which is in text form, in the given format.
func (c column) encode(value string, format int16) []byte {
	if format == 0 || c.oid == pgtype.TextOID {
		return []byte(value)
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return []byte(value)
	}
	if c.oid == pgtype.Int4OID {
		return binary.BigEndian.AppendUint32(nil, uint32(n))
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// decodeParam returns a parameter in text form.
func decodeParam(oid uint32, format int16, value []byte) (string, error) {
	if format == 0 || oid == pgtype.TextOID {
		return string(value), nil
	}
	if oid == pgtype.Float8OID && len(value) == 8 {
		return strconv.FormatFloat(math.Float64frombits(binary.BigEndian.Uint64(value)), 'g', -1, 64), nil
	}
	switch len(value) {
	case 2:
		return strconv.Itoa(int(int16(binary.BigEndian.Uint16(value)))), nil
	case 4:
		return strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))), nil
	case 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10), nil
	}
	return "", siskin.NewError(siskin.BadInput, "binary integer parameter of %d bytes", len(value)).
		WithRemedy("send 2, 4 or 8 bytes")
}

func oidSize(oid uint32) int16 {
	switch oid {
	case pgtype.Int4OID:
		return 4
	case pgtype.Int8OID:
		return 8
	}
	return -1
}
