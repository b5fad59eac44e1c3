package pool

import (
	"testing"
	"time"
)

// TestSilenceEvidence guards against requests that wait on a silent connection
// until their deadline because other connections seem to prove it healthy, and
// against aborting slow statements on a connection that is as old as one that
// answers. Times are milliseconds. The first unanswered probe is sent at 10,000
// and the decision is made at 13,000.
func TestSilenceEvidence(t *testing.T) {
	type heard struct{ opened, at int }
	for _, tt := range []struct {
		name          string
		opened, heard int
		others        []heard
		probes        []int
		since         int // 0: maxControlQuiet before the probe, as for a control connection
		want          bool
	}{
		{"in use since before the fault", 1000, 9900, nil, []int{10_000}, 0, true},
		{"replaced by a connection opened after the fault", 9000, 9900, []heard{{9700, 10_900}}, []int{10_000}, 0, true},
		{"a later probe does not move the beginning", 1000, 9900, []heard{{10_600, 11_000}}, []int{10_000, 11_500}, 0, true},
		{"an earlier question given up later counts", 1000, 9900, nil, []int{10_500, 10_000}, 0, true},
		{"heard while the lost answer was under way", 1000, 10_010, nil, []int{10_000}, 0, true},
		{"sibling of the same age answers", 1000, 9900, []heard{{1010, 11_000}}, []int{10_000}, 0, false},
		{"older connection answers", 1000, 9900, []heard{{500, 11_000}}, []int{10_000}, 0, false},
		{"heard only before the incident began", 1000, 10_600, []heard{{1010, 10_700}}, []int{10_000}, 0, true},
		{"another probe fails for another reason", 9500, 9850, []heard{{9900, 11_000}}, []int{10_000, 10_500}, 0, true},
		{"heard itself", 1000, 11_000, nil, []int{10_000}, 0, false},
		{"replaced long before the probe", 9000, 9200, []heard{{9450, 10_900}}, []int{10_000}, 9200, true},
		{"sibling opened before the silent one was heard", 9000, 9200, []heard{{9150, 10_900}}, []int{10_000}, 9200, false},
		{"opened after the fault", 10_100, 10_150, nil, []int{10_000}, 0, false},
	} {
		at := func(ms int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
		var s silenceDetector
		for _, sent := range tt.probes {
			since := sent - int(maxControlQuiet/time.Millisecond)
			if tt.since != 0 {
				since = tt.since
			}
			s.probeFailed(at(since), at(sent), at(sent).Add(probeTimeout))
		}
		for _, o := range tt.others {
			s.recordHeard(at(o.opened), at(o.at))
		}
		if got := s.isSilent(at(tt.opened), at(tt.heard), at(13_000)); got != tt.want {
			t.Errorf("%s: got silent %v, want %v", tt.name, got, tt.want)
		}
	}
}
