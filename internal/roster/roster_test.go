package roster

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
)

// TestScripts guards against removing targets too early or too late, and
// against applying older lists. Each line has a time, a version and the listed
// ids, or "same" for a confirmation. With "expect" instead of the version, it
// has the number of targets that another VM reports. A draining target is marked
// with "!". With "covered", it has the primary whose commits the staying
// replicas have, with "recorded" the size that the store has.
func TestScripts(t *testing.T) {
	runScripts(t, "lists.txtar", func(r *Roster) string { return ids(r.Service("s")) })
}

// TestSizes guards against treating the targets of a service as complete while
// discovery lacks one of them: a change of primary would then need too few
// claims.
func TestSizes(t *testing.T) {
	runScripts(t, "sizes.txtar", func(r *Roster) string { return strconv.Itoa(r.Size("s")) })
}

// TestDepartures guards against a replica that leaves and is forgotten while it
// alone has acknowledged commits: a change of primary that counts the remaining
// targets as the whole group then loses them. It also guards against so many
// covered departures that all replicas in the list of a VM which is cut off have
// left.
func TestDepartures(t *testing.T) {
	runScripts(t, "departures.txtar", func(r *Roster) string { return strconv.Itoa(r.Size("s")) })
}

// TestPrimaryLeaves guards against a draining primary that is not counted as
// one of the targets that have its commits.
func TestPrimaryLeaves(t *testing.T) {
	r := New()
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	list := []siskin.TargetInfo{{ID: "a", Service: "s", Draining: true}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
	r.Replace(list, 1, at(0))
	if got := r.CoverDepartures("s", "a", 1, at(5)); len(got) > 0 {
		t.Errorf("covered by the draining primary itself: got %v, want none", got)
	}
	if got := r.Size("s"); got != 3 {
		t.Errorf("size with an uncovered primary that drains: got %d, want 3", got)
	}
	if got := r.CoverDepartures("s", "b", 1, at(15)); len(got) > 0 {
		t.Errorf("covered while it leaves one replica of two: got %v, want none", got)
	}
	if got := r.CoverDepartures("s", "b", 1, at(16)); len(got) != 1 || !r.IsCovered("a") {
		t.Errorf("covered by the next primary: got %v, want a", got)
	}
	if got := r.Size("s"); got != 2 {
		t.Errorf("size once it is covered: got %d, want 2", got)
	}
}

func runScripts(t *testing.T, name string, result func(*Roster) string) {
	t.Helper()
	archive, err := txtar.ParseFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			r := New()
			for line := range strings.Lines(string(file.Data)) {
				input, want, ok := strings.Cut(strings.TrimSpace(line), " => ")
				if !ok {
					continue
				}
				runLine(t, r, strings.Fields(input))
				if got := result(r); got != want {
					t.Errorf("%s: got %s, want %s", input, got, want)
				}
			}
		})
	}
}

func runLine(t *testing.T, r *Roster, words []string) {
	t.Helper()
	after, err := time.ParseDuration(words[0])
	if words[1] == "expect" {
		n, err := strconv.Atoi(words[2])
		if err != nil {
			t.Fatal(err)
		}
		r.LearnSizes(map[siskin.ServiceName]int{"s": n}, time.Unix(1000, 0).Add(after))
		return
	}
	if words[1] == "recorded" {
		n, err := strconv.Atoi(words[2])
		if err != nil {
			t.Fatal(err)
		}
		r.LearnSizesOfAll(map[siskin.ServiceName]int{"s": n}, time.Unix(1000, 0).Add(after))
		return
	}
	if words[1] == "covered" {
		r.CoverDepartures("s", siskin.TargetID(words[2]), 1, time.Unix(1000, 0).Add(after))
		return
	}
	if words[1] == "learned" {
		var list []siskin.TargetID
		for _, id := range words[2:] {
			list = append(list, siskin.TargetID(id))
		}
		r.LearnCovered(list, func(siskin.ServiceName) int { return 1 }, time.Unix(1000, 0).Add(after))
		return
	}
	version, err2 := strconv.ParseUint(words[1], 10, 64)
	if err != nil || err2 != nil {
		t.Fatalf("got %v %v, want a time and a version", err, err2)
	}
	at := time.Unix(1000, 0).Add(after)
	if len(words) > 2 && words[2] == "same" {
		r.Confirm(siskin.Version(version), at)
		return
	}
	var list []siskin.TargetInfo
	for _, word := range words[2:] {
		id, draining := strings.CutSuffix(word, "!")
		id, primary := strings.CutSuffix(id, "*")
		list = append(list, siskin.TargetInfo{ID: siskin.TargetID(id), Service: "s", Draining: draining, Primary: primary})
	}
	r.Replace(list, siskin.Version(version), at)
}

func ids(list []siskin.TargetInfo) string {
	var b strings.Builder
	for _, t := range list {
		fmt.Fprintf(&b, "%s", t.ID)
	}
	return b.String()
}

// TestLeaving guards against new work for a target that is about to stop, also
// when another field of its entry changes while it drains.
func TestLeaving(t *testing.T) {
	r := New()
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	info := siskin.TargetInfo{ID: "a", Service: "s"}
	r.Replace([]siskin.TargetInfo{info}, 1, at(0))
	info.Draining = true
	r.Replace([]siskin.TargetInfo{info}, 2, at(time.Second))
	info.ColdRemaining = time.Second
	r.Replace([]siskin.TargetInfo{info}, 3, at(4*time.Second))
	for _, c := range []struct {
		now  time.Duration
		want bool
	}{{time.Second, false}, {5 * time.Second, false}, {6 * time.Second, true}} {
		if got := r.Leaving("a", at(c.now)); got != c.want {
			t.Errorf("leaving at %v, draining since 1s: got %t, want %t", c.now, got, c.want)
		}
	}
	if !r.Leaving("gone", at(0)) {
		t.Error("leaving of an unknown target: got false, want true")
	}
}

// TestSince guards against overestimating how long a target has run when the
// lists show a restart, the entry of its successor or a gap.
func TestSince(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	info := func(id string, started int, draining bool) siskin.TargetInfo {
		return siskin.TargetInfo{ID: siskin.TargetID(id), Service: "s", Address: "a", StartedAt: at(started), Draining: draining}
	}
	r := New()
	if _, _, _, ok := r.ListedSince("a"); ok {
		t.Error("before the first list: got a time, want none")
	}
	r.Replace([]siskin.TargetInfo{info("a", 0, false), info("b", 0, false)}, 1, at(0))
	r.Replace([]siskin.TargetInfo{info("a", 0, true), info("b", 0, false), info("c", 2, false)}, 2, at(2))
	r.Replace([]siskin.TargetInfo{info("a", 0, true), info("b", 4, false), info("c", 2, false)}, 3, at(4))
	r.Replace([]siskin.TargetInfo{info("a", 0, true), info("b", 4, false)}, 4, at(5))
	for _, c := range []struct {
		id        siskin.TargetID
		want      time.Time
		first, ok bool
	}{{"a", at(0), true, true}, {"b", at(4), false, true}, {"c", time.Time{}, false, false}} {
		if got, _, first, ok := r.ListedSince(c.id); !got.Equal(c.want) || first != c.first || ok != c.ok {
			t.Errorf("%s: got %v, %v and %v, want %v, %v and %v", c.id, got, first, ok, c.want, c.first, c.ok)
		}
	}
	r.Replace([]siskin.TargetInfo{info("a", 0, true), info("b", 4, false), info("c", 2, false)}, 5, at(6))
	if since, listed, first, ok := r.ListedSince("c"); !ok || first || !since.Equal(at(6)) || !listed.Equal(at(6)) {
		t.Errorf("a target that is listed again: got %v, %v and %v, want %v twice", since, listed, ok, at(6))
	}
}
