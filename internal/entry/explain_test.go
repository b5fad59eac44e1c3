package entry

import (
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/explain"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/speed"
)

// TestExplain guards against an explanation that names another target than the
// one to which the statement goes, or that gives no reason.
func TestExplain(t *testing.T) {
	noProof := func(f *fixture) {
		f.e.cfg.Views.RecordDenial("s", "p", f.e.cfg.Clock.Now())
	}
	unresponsive := func(f *fixture) {
		for range unresponsiveFailures {
			f.e.cfg.Views.RecordFailure("p", f.e.cfg.Clock.Now())
		}
	}
	failing := func(f *fixture) {
		for range 3 {
			f.e.cfg.Views.RecordOutcome("r", true, f.e.cfg.Clock.Now())
		}
	}
	for _, tt := range []struct {
		database string
		kind     explain.Kind
		prepare  func(*fixture)
		want     siskin.TargetID
		reason   string
	}{
		{"own", explain.Read, nil, "r", "least cost"},
		{"bounded", explain.ReadOnlyTransaction, nil, "r", "least cost"},
		{"bounded", explain.Transaction, nil, "r", "least cost"},
		{"own", explain.Transaction, nil, "p", "expected to write"},
		{"own", explain.Write, nil, "p", "only the primary"},
		{"primary", explain.Read, nil, "p", "reads at the primary"},
		{"primary", explain.Read, noProof, "", "no primary is known"},
		{"own", explain.Write, unresponsive, "", "did not answer"},
		{"own", explain.Read, failing, "p", "least cost"},
	} {
		f := newFixture(t)
		f.e.cfg.Random = func() float64 { return 2 * trialShare }
		if tt.prepare != nil {
			tt.prepare(f)
		}
		x, err := f.e.Explain(explain.Query{Customer: "acme", Database: tt.database, Kind: tt.kind})
		if err != nil {
			t.Fatal(err)
		}
		if x.Target != tt.want || !strings.Contains(x.Reason, tt.reason) {
			t.Errorf("%s %s: got target %q, %q, want %q and %q", tt.database, tt.kind, x.Target, x.Reason, tt.want, tt.reason)
		}
		if tt.want == "" {
			continue
		}
		f.homes.replies = []home.Reply{replies["ok"]}
		st := siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}
		if tt.kind != explain.Read {
			continue
		}
		if _, err := f.session(tt.database).answer(&st); err != nil || !strings.HasPrefix(f.homes.requests[0], "Read@"+string(tt.want)) {
			t.Errorf("%s %s: the statement went to %v (%v), want %s", tt.database, tt.kind, f.homes.requests, err, tt.want)
		}
	}
}

// TestTrialOfFailingTarget guards against a failing target that gets no reads as
// trials, and so never counts as recovered.
func TestTrialOfFailingTarget(t *testing.T) {
	for _, c := range []struct {
		random float64
		want   string
	}{{trialShare / 2, "Read@r/floor"}, {trialShare * 2, "Read@p/"}} {
		f := newFixture(t)
		f.e.cfg.Random = func() float64 { return c.random }
		for range 3 {
			f.e.cfg.Views.RecordOutcome("r", true, f.e.cfg.Clock.Now())
		}
		f.homes.replies = []home.Reply{replies["ok"]}
		st := siskin.Statement{ID: "1", Kind: siskin.Read, Text: "x"}
		if _, err := f.session("own").answer(&st); err != nil || !strings.HasPrefix(f.homes.requests[0], c.want) {
			t.Errorf("read with the number %v: got %v (%v), want %s", c.random, f.homes.requests, err, c.want)
		}
	}
}

// TestExplainFigures guards against figures and notes that an explanation leaves
// out.
func TestExplainFigures(t *testing.T) {
	f := newFixture(t)
	now := f.e.cfg.Clock.Now()
	f.e.cfg.Views.RecordSpeed("r", speed.Read, speed.Report{Typical: normalTime, Spread: 700, Samples: 40, Limit: 3}, now)
	f.e.cfg.Views.RecordLoad("r", 2, now)
	x, err := f.e.Explain(explain.Query{Customer: "acme", Database: "own", Kind: explain.Read})
	if err != nil || len(x.Targets) != 2 {
		t.Fatalf("got %+v (%v), want two targets", x, err)
	}
	for _, got := range x.Targets {
		switch got.ID {
		case "r":
			if got.Samples < 39 || got.Limit != 3 || got.Load != 2 || got.Expected.Std() < normalTime || got.Cost < 0.9 || len(got.Notes) != 0 {
				t.Errorf("replica: got %+v, want its figures and no notes", got)
			}
		case "p":
			if got.Samples != 0 || strings.Join(got.Notes, ", ") != "primary, in another data centre" {
				t.Errorf("primary: got %+v, want no figures and two notes", got)
			}
		}
	}
	if x.Floor == "" || x.FloorValid <= 0 || x.Primary != "p" {
		t.Errorf("got the floor %q for %v and the primary %q, want a valid floor and p", x.Floor, x.FloorValid, x.Primary)
	}
}

// TestExplainErrors guards against an explanation of a statement that could not
// be sent, and against errors that do not say what is missing.
func TestExplainErrors(t *testing.T) {
	f := newFixture(t)
	d := &siskin.Deployment{
		Version: 2, Customers: []siskin.CustomerSpec{{ID: "acme", Keys: []string{"key"}}, {ID: "keyless"}},
		Routes: []siskin.RouteSpec{{Database: "own", Service: "s", Kind: siskin.ReadYourWrites, Timeout: time.Second}},
	}
	f.e.cfg.Table.Apply(d, nil)
	for _, tt := range []struct {
		q    explain.Query
		kind siskin.ErrorKind
		want string
	}{
		{explain.Query{Customer: "none", Database: "own", Kind: explain.Read}, siskin.BadInput, "unknown customer"},
		{explain.Query{Customer: "keyless", Database: "own", Kind: explain.Read}, siskin.KeyRefused, "no key"},
		{explain.Query{Customer: "acme", Database: "none", Kind: explain.Read}, siskin.UnknownRoute, "no route"},
		{explain.Query{Customer: "acme", Database: "own", Kind: "commit"}, siskin.BadInput, "unknown kind"},
	} {
		if _, err := f.e.Explain(tt.q); siskin.KindOf(err) != tt.kind || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%+v: got %v, want an error with %q", tt.q, err, tt.want)
		}
	}
}

// TestExplainChangesNothing guards against an explanation that counts as a
// statement.
func TestExplainChangesNothing(t *testing.T) {
	f := newFixture(t)
	before := []any{f.e.cfg.Views.Target("p"), f.e.cfg.Views.Target("r"), f.e.inFlight.Len(), f.e.rankings.Len(), f.e.Sessions()}
	for _, kind := range explain.Kinds {
		if _, err := f.e.Explain(explain.Query{Customer: "acme", Database: "own", Kind: kind}); err != nil {
			t.Fatal(err)
		}
	}
	after := []any{f.e.cfg.Views.Target("p"), f.e.cfg.Views.Target("r"), f.e.inFlight.Len(), f.e.rankings.Len(), f.e.Sessions()}
	for i := range before {
		if before[i] != after[i] {
			t.Errorf("state %d: got %+v, want %+v as before", i, after[i], before[i])
		}
	}
	if len(f.homes.requests) != 0 || f.limiter.admissions != 0 {
		t.Errorf("got requests %v and %d admissions, want none", f.homes.requests, f.limiter.admissions)
	}
}

// TestExplainPartition guards against an explanation that sends a statement into a
// data centre that cannot be reached, and against one that uses up the trial there.
func TestExplainPartition(t *testing.T) {
	b := newBudgetScript(t, "bounded", "")
	b.silent = true
	now := b.clock.now
	b.f.e.reach.record("far", false, now)
	for kind, want := range map[explain.Kind]siskin.TargetID{explain.Write: "", explain.Read: "r"} {
		x, err := b.f.e.Explain(explain.Query{Customer: "acme", Database: "bounded", Kind: kind})
		if err != nil {
			t.Fatal(err)
		}
		if x.Target != want || want == "" && !strings.Contains(x.Reason, "cannot be reached") {
			t.Errorf("%s: got target %q, %q, want %q", kind, x.Target, x.Reason, want)
		}
	}
	if !b.f.e.reach.takeTrial("p", now) {
		t.Error("trial after the explanations: got none, want it due")
	}
}
