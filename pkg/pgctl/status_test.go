package pgctl

import (
	"strings"
	"testing"
)

// FuzzParseStatus guards against a malformed row that causes a panic or is
// accepted with a negative duration or count.
func FuzzParseStatus(f *testing.F) {
	f.Add("t/1|Primary|1|vm-1|1|1|0/1F|0/1F|0|false|false|0")
	f.Add("t/1|Replica|1||1|1|x|0/1F|-1|maybe|false|0")
	f.Fuzz(func(t *testing.T, row string) {
		st, err := parseStatus(strings.Split(row, "|"))
		if err == nil && (st.HeardPrimary < 0 || st.Running < 0) {
			t.Errorf("got %+v, want an error", st)
		}
	})
}
