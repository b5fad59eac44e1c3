package siskin

import (
	"fmt"
	"strconv"
	"strings"
)

// LSN is a log sequence number: a position in a target's log, in bytes from its
// start.
type LSN uint64

// String formats the position as PostgreSQL does, such as "0/16B3748".
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint32(l>>32), uint32(l))
}

// ParseLSN parses the form that String returns.
func ParseLSN(s string) (LSN, error) {
	high, low, ok := strings.Cut(s, "/")
	if !ok {
		return 0, NewError(BadInput, "log position %q has no slash", s).WithRemedy("write it as two hexadecimal numbers, such as 0/16B3748")
	}
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, NewError(BadInput, "log position %q: high part is not hexadecimal", s).WithRemedy("write it as two hexadecimal numbers, such as 0/16B3748")
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, NewError(BadInput, "log position %q: low part is not hexadecimal", s).WithRemedy("write it as two hexadecimal numbers, such as 0/16B3748")
	}
	return LSN(h<<32 | l), nil
}
