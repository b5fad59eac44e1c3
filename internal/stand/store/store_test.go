package store

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

// replicate takes the whole log of leader to replica.
func replicate(t interface{ Fatal(...any) }, replica, leader *Store) {
	hello, ok := replica.Hello()
	if !ok {
		t.Fatal("the replica follows nobody")
	}
	from, err := leader.Serve(hello.Leader.Term, hello.Segments)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	if err := replica.Start(now, hello, from); err != nil {
		t.Fatal(err)
	}
	records, err := leader.Next(hello.Leader.Term, from, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := replica.Receive(now, hello, records); err != nil {
		t.Fatal(err)
	}
}

// TestTermRecordOutranksOlderBranch guards against a write that was confirmed
// in a term without a record of that term: a branch of a term in between would
// then look newer and win the next promotion.
func TestTermRecordOutranksOlderBranch(t *testing.T) {
	for _, without := range []bool{false, true} {
		now := time.Now()
		var s [3]*Store
		for i := range s {
			s[i] = New(siskin.TargetID(fmt.Sprint(i)), Leader{ID: "0", Term: 1})
			s[i].SetRules(Rules{NoTermRecord: without})
		}
		replicate(t, s[1], s[0])
		replicate(t, s[2], s[0])
		if _, err := s[0].Commit([]Op{{Key: "w"}}); err != nil { // not replicated yet
			t.Fatal(err)
		}
		promote := func(i int, term siskin.Term) {
			s[i].Claim(now, term, "vm", uint64(term))
			if _, err := s[i].Promote(now, uint64(term)); err != nil {
				t.Fatal(err)
			}
		}
		promote(2, 2) // with the claim of 1, which then fails
		if _, err := s[2].Commit([]Op{{Key: "x"}}); err != nil {
			t.Fatal(err)
		}
		promote(0, 3) // with the claim of 1
		if _, err := s[1].Follow(now, Leader{ID: "0", Term: 3}); err != nil {
			t.Fatal(err)
		}
		replicate(t, s[1], s[0]) // 0 and 1 hold w in the stream of term 3: confirmed
		end := func(i int) siskin.Position {
			st := s[i].Status(now)
			return siskin.Position{Term: st.LastTerm, LSN: st.Received}
		}
		wins := end(1).Compare(end(2)) > 0
		if wins == without {
			t.Errorf("without the record %v: got %v against %v, so the confirmed log wins: %v", without, end(1), end(2), wins)
		}
	}
}

// TestRewindKeepsCommonRecords guards against a replica that rewinds behind the
// point of divergence or keeps records that its leader does not have.
func TestRewindKeepsCommonRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := New("a", Leader{ID: "a", Term: 1})
		replica := New("b", Leader{ID: "a", Term: 1})
		commit := func(s *Store, label string) {
			for i := range rapid.IntRange(0, 4).Draw(t, label) {
				_, _ = s.Commit([]Op{{Key: fmt.Sprint(label, i)}})
			}
		}
		commit(leader, "common")
		replicate(t, replica, leader)
		common := len(replica.Records())
		commit(leader, "old")
		replica.Claim(time.Now(), 2, "vm", 1)
		if _, err := replica.Promote(time.Now(), 1); err != nil {
			t.Fatal(err)
		}
		commit(replica, "new")
		if _, err := leader.Follow(time.Now(), Leader{ID: "b", Term: 2}); err != nil {
			t.Fatal(err)
		}
		replicate(t, leader, replica)
		leader.Apply(1 << 40)
		got, want := leader.Records(), replica.Records()
		if fmt.Sprint(got) != fmt.Sprint(want) || len(got) <= common {
			t.Fatalf("got %v, want %v", got, want)
		}
		if got, want := fmt.Sprint(leader.Table()), fmt.Sprint(replica.Table()); got != want {
			t.Fatalf("got table %s, want %s", got, want)
		}
	})
}

// FuzzDivergence guards against a divergence behind the end of either log.
func FuzzDivergence(f *testing.F) {
	f.Add([]byte{1, 3, 2, 4}, []byte{1, 3, 3, 5})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		x, y := segments(a), segments(b)
		got := Divergence(x, y)
		if other := Divergence(y, x); other != got {
			t.Fatalf("got %d and %d", got, other)
		}
		if len(x) > 0 && got > x[len(x)-1].End {
			t.Fatalf("got %d behind the end of %v", got, x)
		}
		if self := Divergence(x, x); len(x) > 0 && self != x[len(x)-1].End {
			t.Fatalf("got %d for equal logs, want %d", self, x[len(x)-1].End)
		}
	})
}

func segments(data []byte) []Segment {
	var s []Segment
	var last Segment
	for i := 0; i+1 < len(data); i += 2 {
		last.Term += siskin.Term(data[i]) + 1
		last.End += siskin.LSN(data[i+1]) + 1
		s = append(s, last)
	}
	return s
}
