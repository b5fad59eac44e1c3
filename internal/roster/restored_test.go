package roster

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// version returns a version of an era for tests.
func version(t *testing.T, era siskin.Era, revision uint64) siskin.Version {
	t.Helper()
	v, err := siskin.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestLeavingAfterRestore guards against counting the time that a leaving target
// has left from its second report, when a restored store has lost the first one.
func TestLeavingAfterRestore(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	ready := siskin.TargetInfo{ID: "a", Service: "s", Address: "a", StartedAt: at(-time.Hour)}
	draining := ready
	draining.Draining = true
	r := New()
	r.Replace([]siskin.TargetInfo{ready}, version(t, 1, 5), at(0))
	r.Replace([]siskin.TargetInfo{draining}, version(t, 1, 9), at(time.Second))
	r.Replace([]siskin.TargetInfo{ready}, version(t, 2, 6), at(3*time.Second))
	if got, _ := r.Target("a"); !got.Draining {
		t.Error("first list after the restore: got a target that is ready, want one that drains")
	}
	r.Replace([]siskin.TargetInfo{draining}, version(t, 2, 7), at(5*time.Second))
	if !r.Leaving("a", at(time.Second+drainGrace+time.Millisecond)) {
		t.Errorf("leaving %v after the first report: got false, want true", drainGrace)
	}
}

// TestReadyAfterRestore guards against keeping a target out for good when it
// really is ready in the new era, or has started again.
func TestReadyAfterRestore(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	draining := siskin.TargetInfo{ID: "a", Service: "s", Address: "a", StartedAt: at(-time.Hour), Draining: true}
	ready, restarted := draining, draining
	ready.Draining, restarted.Draining, restarted.StartedAt = false, false, at(2*time.Second)
	for _, c := range []struct {
		name string
		info siskin.TargetInfo
		at   time.Duration
	}{
		{"started again", restarted, 3 * time.Second},
		{"listed as ready for long", ready, 3*time.Second + restoreGrace},
	} {
		r := New()
		r.Replace([]siskin.TargetInfo{draining}, version(t, 1, 9), at(0))
		r.Replace([]siskin.TargetInfo{ready}, version(t, 2, 6), at(3*time.Second-time.Millisecond))
		r.Replace([]siskin.TargetInfo{c.info}, version(t, 2, 7), at(c.at))
		if got, _ := r.Target("a"); got.Draining || !got.StartedAt.Equal(c.info.StartedAt) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.info)
		}
	}
}

// TestRunAfterRestore guards against taking a target for its former run when a
// restored store has lost the entry of the present one: the proof that it still
// holds a claim rests on the run.
func TestRunAfterRestore(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	info := func(started int) []siskin.TargetInfo {
		return []siskin.TargetInfo{{ID: "a", Service: "s", Address: "a", StartedAt: at(started)}}
	}
	r := New()
	r.Replace(info(-100), version(t, 1, 5), at(0))
	r.Replace(info(1), version(t, 1, 9), at(2))
	r.Replace(info(-100), version(t, 2, 6), at(4))
	if got, _ := r.Target("a"); !got.StartedAt.Equal(at(1)) {
		t.Errorf("run after the restore: got a start at %v, want %v", got.StartedAt, at(1))
	}
	if since, listed, first, ok := r.ListedSince("a"); !ok || first || !since.Equal(at(2)) || !listed.Equal(at(4)) {
		t.Errorf("after the restore: got %v, %v, %v and %v, want since %v, listed %v", since, listed, first, ok, at(2), at(4))
	}
}

// TestEvacuationAfterRestore guards against statements to an evacuated data
// centre while a restored store has lost the evacuation and the operator has not
// written it again.
func TestEvacuationAfterRestore(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	list := []siskin.TargetInfo{{ID: "a", Service: "s", Address: "a", DataCentre: "dc"}}
	r := New()
	r.RequireEvacuations(5 * time.Second)
	r.Replace(list, version(t, 1, 9), at(0))
	r.ReplaceEvacuations([]siskin.DataCentreID{"dc"}, version(t, 1, 9), at(0))
	replace := func(d time.Duration) {
		r.Replace(list, version(t, 2, 6), at(d))
		r.ReplaceEvacuations(nil, version(t, 2, 6), at(d))
	}
	replace(3 * time.Second)
	replace(4 * time.Second)
	if !r.Blocked("a", at(4*time.Second)) {
		t.Error("just after the restore: got a target that may be used, want a blocked one")
	}
	replace(3*time.Second + restoreGrace)
	if r.Blocked("a", at(3*time.Second+restoreGrace)) {
		t.Error("evacuation that the operator has not written again: got a blocked target, want one that may be used")
	}
}
