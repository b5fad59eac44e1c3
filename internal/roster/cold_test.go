package roster

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestCold guards against using a cold target as warm too early, and against
// missing a restarted target that is not listed as cold yet.
func TestCold(t *testing.T) {
	r, at := New(), func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	info := siskin.TargetInfo{ID: "a", Service: "s", ColdRemaining: 3 * time.Second}
	r.Replace([]siskin.TargetInfo{info}, 1, at(0))
	r.Replace([]siskin.TargetInfo{info}, 2, at(time.Second))
	info.ColdRemaining = time.Second
	r.Replace([]siskin.TargetInfo{info}, 3, at(2*time.Second))
	for now, want := range map[time.Duration]bool{2 * time.Second: true, 3*time.Second + coldMargin - 1: true, 3*time.Second + coldMargin: false} {
		if got := r.MayBeCold("a", at(0), time.Time{}, at(now)); got != want {
			t.Errorf("cold at %v, with 1s left at 2s: got %t, want %t", now, got, want)
		}
	}
	info.ColdRemaining = 0
	r.Replace([]siskin.TargetInfo{info}, 4, at(4*time.Second))
	if r.MayBeCold("a", at(0), time.Time{}, at(4*time.Second)) {
		t.Error("cold after its entry reported that it is warm: got true, want false")
	}
	failed := at(10 * time.Second)
	r.Confirm(4, failed.Add(coldReportDelay-1))
	if !r.MayBeCold("a", at(0), failed, at(20*time.Second)) {
		t.Error("cold after a failure without a later list: got false, want true")
	}
	r.Confirm(4, failed.Add(coldReportDelay))
	if r.MayBeCold("a", at(0), failed, at(20*time.Second)) {
		t.Error("cold after a failure and a later list: got true, want false")
	}
	if !r.MayBeCold("unknown", at(0), time.Time{}, at(0)) {
		t.Error("cold of an unknown target: got false, want true")
	}
}

// TestColdUnseen guards against using a target as warm that restarted, and is
// cold, while this VM was down or got no lists.
func TestColdUnseen(t *testing.T) {
	r, at := New(), func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	info := siskin.TargetInfo{ID: "a", Service: "s"}
	check := func(what string, opened, now time.Duration, want bool) {
		t.Helper()
		if got := r.MayBeCold("a", at(opened), time.Time{}, at(now)); got != want {
			t.Errorf("%s: got cold %t, want %t", what, got, want)
		}
	}
	r.Replace([]siskin.TargetInfo{info}, 1, at(0))
	check("just after the start of the VM", 0, 0, true)
	r.Confirm(1, at(coldReportDelay-1))
	check("with a list that may be older than the target's entry", 0, coldReportDelay, true)
	r.Confirm(1, at(coldReportDelay))
	check("with a later list", 0, coldReportDelay, false)
	r.Confirm(1, at(4*time.Second))
	check("opened before the store outage", 5*time.Second, 20*time.Second, false)
	check("opened during the outage, without a list", 10*time.Second, 20*time.Second, true)
	r.Confirm(1, at(21*time.Second))
	check("opened before the outage, with the first list after it", 5*time.Second, 21*time.Second, false)
	check("opened during the outage, with the first list after it", 10*time.Second, 21*time.Second, true)
	r.Confirm(1, at(24*time.Second))
	check("opened during the outage, with a later list", 10*time.Second, 24*time.Second, false)
	check("opened after the outage", 25*time.Second, 25*time.Second, false)
}
