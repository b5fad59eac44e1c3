package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

// TestTrackerAgainstModel guards against a commit that is released by reports
// of another term, by the primary's own report, by too few replicas or after
// its term was fenced by a quorum, and against one that is not released in
// time.
func TestTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "targets")
		set := Settings{AckReplicas: (n - 1) / 2}
		for i := range n {
			set.Members = append(set.Members, Member{ID: siskin.TargetID(fmt.Sprint(i))})
		}
		tr := newTracker(&set)
		claims := make([]siskin.Term, n)
		received := make(map[siskin.Term][]siskin.LSN)
		var newest siskin.Term
		waiting := make(map[*waiter]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			term := newest + siskin.Term(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(t, "term"))
			lsn := siskin.LSN(rapid.IntRange(0, 20).Draw(t, "lsn"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				waiting[tr.add(siskin.Position{Term: term, LSN: lsn}, time.Time{})] = true
				newest = max(newest, term)
			} else {
				i := rapid.IntRange(0, n-1).Draw(t, "target")
				st := siskin.TargetStatus{ID: set.Members[i].ID, StreamTerm: term, ClaimedTerm: term, Received: lsn}
				if rapid.IntRange(0, 5).Draw(t, "role") == 0 {
					st.Role = siskin.RolePrimary
				}
				if rapid.IntRange(0, 9).Draw(t, "claimed") == 0 {
					st.ClaimedTerm++
				}
				tr.observe(st)
				newest = max(newest, term)
				claims[i] = max(claims[i], st.ClaimedTerm)
				if received[term] == nil {
					received[term] = make([]siskin.LSN, n)
				}
				if st.Role == siskin.RoleReplica {
					received[term][i] = max(received[term][i], lsn)
				}
			}
			sorted := slices.Sorted(slices.Values(claims))
			fence := max(newest, sorted[n-set.quorum()])
			for w := range waiting {
				count := 0
				for _, l := range received[w.pos.Term] {
					if l >= w.pos.LSN && l > 0 {
						count++
					}
				}
				want := "waits"
				if w.pos.Term < fence {
					want = "unknown"
				} else if count >= set.AckReplicas {
					want = "acknowledged"
				}
				got := "waits"
				select {
				case ok := <-w.result:
					got = map[bool]string{true: "acknowledged", false: "unknown"}[ok]
					delete(waiting, w)
				default:
				}
				if got != want {
					t.Fatalf("commit at %v: got %s, want %s", w.pos, got, want)
				}
			}
		}
	})
}
