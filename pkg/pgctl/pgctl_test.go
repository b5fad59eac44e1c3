package pgctl_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/pgctl"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var credentials = config.Credentials{User: "siskin", Password: "full-secret", Database: "app"}

func Example() {
	servers, err := target.StartGroup("ledger", 3, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer target.CloseAll(servers)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, err := pgctl.NewDialer(credentials, time.Second).DialTarget(ctx, "ledger/1", servers[0].Address())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer t.Close()
	st, err := t.Status(ctx)
	fmt.Println(st.ID, st.Role, st.StreamTerm, err)
	// Output: ledger/1 Primary 1 <nil>
}

// TestFailover guards against a replica that keeps log records discarded by the
// failover, a demoted primary that commits and a promotion by a session that
// does not hold the claim.
func TestFailover(t *testing.T) {
	servers, err := target.StartGroup("ledger", 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer target.CloseAll(servers)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var targets []siskin.Target
	for _, s := range servers {
		c, err := pgctl.NewDialer(credentials, time.Second).DialTarget(ctx, s.ID(), s.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		targets = append(targets, c)
	}
	old := servers[0].Store()
	pos, err := old.Commit([]store.Op{{Key: "kept", Value: "1"}})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range targets[1:] {
		if st, err := c.Wait(ctx, pos, 2*time.Second); err != nil || st.Received != pos.LSN || st.StreamTerm != 1 {
			t.Fatalf("got %+v, %v, want position %v", st, err, pos)
		}
	}
	servers[0].CutReplication(true)
	if _, err := old.Commit([]store.Op{{Key: "discarded", Value: "1"}}); err != nil {
		t.Fatal(err)
	}
	for _, c := range targets[1:] {
		if _, err := c.Claim(ctx, 2, "vm-1"); err != nil {
			t.Fatal(err)
		}
	}
	other, err := pgctl.NewDialer(credentials, time.Second).DialTarget(ctx, "ledger/2", servers[1].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if _, err := other.Promote(ctx, 2); siskin.KindOf(err) != siskin.Conflict {
		t.Fatalf("promotion by another session: got %v, want a conflict", err)
	}
	if _, err := targets[1].Claim(ctx, 2, "vm-1"); siskin.KindOf(err) != siskin.Conflict {
		t.Fatalf("second claim of a term: got %v, want a conflict", err)
	}
	if _, err := targets[1].Promote(ctx, 2); err != nil {
		t.Fatal(err)
	}
	servers[0].CutReplication(false)
	for i, c := range []siskin.Target{targets[0], targets[2]} {
		if err := c.Follow(ctx, "ledger/2", "", 2); err != nil {
			t.Fatal(i, err)
		}
		st, err := c.Wait(ctx, siskin.Position{Term: 2, LSN: pos.LSN + 1}, 2*time.Second)
		if err != nil || st.StreamTerm != 2 || st.LastTerm != 2 {
			t.Fatalf("got %+v, %v, want the stream of term 2", st, err)
		}
	}
	if _, err := old.Commit([]store.Op{{Key: "late", Value: "1"}}); siskin.KindOf(err) != siskin.NotRun {
		t.Fatalf("commit at a replaced primary: got %v, want not run", err)
	}
	time.Sleep(20 * time.Millisecond) // a received record is applied with a delay
	if got, want := fmt.Sprint(old.Table()), "map[kept:1]"; got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
}
