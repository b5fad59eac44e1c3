package procs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// reportedViolations is the number of violations of a kind that are reported in
// detail.
const reportedViolations = 10

// violations reports and counts broken rules by kind.
type violations struct {
	t      *testing.T
	counts map[string]int
}

func newViolations(t *testing.T) *violations {
	return &violations{t: t, counts: make(map[string]int)}
}

func (v *violations) add(kind, format string, args ...any) {
	v.t.Helper()
	if v.counts[kind]++; v.counts[kind] <= reportedViolations {
		v.t.Errorf("%s: %s", kind, fmt.Sprintf(format, args...))
	}
}

// String returns the counts by kind.
func (v *violations) String() string {
	var list []string
	for _, kind := range slices.Sorted(maps.Keys(v.counts)) {
		list = append(list, fmt.Sprintf("%s %d", kind, v.counts[kind]))
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
