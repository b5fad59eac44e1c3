package home

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/platform/stand"
)

// TestCommitThroughRestartedReplica guards against commits that are acknowledged and
// then lost by a promotion on its way: a claimed replica that starts again has
// forgotten its claim and acknowledges what the promoted target lacks.
func TestCommitThroughRestartedReplica(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(*testing.T) *fixture
	}{
		{"without fencing", unfenced},
		{"with fencing", func(t *testing.T) *fixture { return start(t, stand.ServiceOptions{}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.start(t)
			primary, chosen, restarted := f.target(0), f.target(1), f.target(2)
			if got := f.run(request(primary, siskin.Write, "x 1")); got.Outcome != Answered {
				t.Fatalf("write before the claims: got %+v, want an answer", got)
			}
			f.claim(chosen, 100)
			f.claim(restarted, 100)
			waiting := make(chan Reply)
			go func() {
				req := request(primary, siskin.Write, "x 2")
				req.Patience = 2 * time.Second
				waiting <- f.run(req)
			}()
			time.Sleep(lease.Wait)
			f.restart(restarted)
			if got := <-waiting; got.Outcome != Lost {
				t.Errorf("write that waited for the replica: got %+v, want it in doubt", got)
			}
			if got := f.run(request(primary, siskin.Write, "x 3")); got.Outcome != NotSent {
				t.Errorf("write after the replica's start: got %+v, want it refused", got)
			}
		})
	}
}

func (f *fixture) restart(target *stand.Target) {
	f.t.Helper()
	target.Crash()
	if err := target.Restart(); err != nil {
		f.t.Fatal(err)
	}
}
