package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/retry"
)

// TestHeaderRoundTrip guards against header fields that change between the
// entry VM and the home.
func TestHeaderRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := Header{
			Service:  siskin.ServiceName(rapid.String().Draw(rt, "service")),
			Route:    siskin.RouteName(rapid.String().Draw(rt, "route")),
			Customer: siskin.CustomerID(rapid.String().Draw(rt, "customer")),
			Key:      siskin.KeyID(rapid.String().Draw(rt, "key")),
			Target:   siskin.TargetID(rapid.String().Draw(rt, "target")),
			Slot:     siskin.Slot(rapid.IntRange(0, 0xffff).Draw(rt, "slot")),
			Floor: siskin.Position{
				Term: siskin.Term(rapid.Uint64().Draw(rt, "term")), LSN: siskin.LSN(rapid.Uint64().Draw(rt, "lsn")),
			},
			SampleFloor: rapid.Bool().Draw(rt, "sample"), Admitted: rapid.Bool().Draw(rt, "admitted"),
			Request:   rapid.Uint64().Draw(rt, "request"),
			Remaining: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "remaining")),
		}
		b, err := want.Encode(nil)
		if err != nil {
			rt.Fatal(err)
		}
		var got Header
		if err := got.Decode(b[5:]); err != nil || got != want {
			rt.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

// TestFailureRoundTrip guards against a failure whose proof or kind changes
// between VMs, such as an unknown outcome that becomes "not run".
func TestFailureRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := Failure{
			Proof: retry.Outcome(rapid.IntRange(0, 3).Draw(rt, "proof")), Admitted: rapid.Bool().Draw(rt, "admitted"),
			WithinRate: rapid.Bool().Draw(rt, "within"),
			Err: siskin.NewError(siskin.ErrorKind(rapid.IntRange(0, 14).Draw(rt, "kind")), "%s", rapid.String().Draw(rt, "message")).
				WithRemedy(rapid.String().Draw(rt, "remedy")).
				WithRetryAfter(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "after"))),
		}
		b, err := want.Encode(nil)
		if err != nil {
			rt.Fatal(err)
		}
		var got Failure
		if err := got.Decode(b[5:]); err != nil {
			rt.Fatal(err)
		}
		if got.Proof != want.Proof || got.Admitted != want.Admitted || got.WithinRate != want.WithinRate || *got.Err != *want.Err {
			rt.Fatalf("got %+v %+v, want %+v %+v", got, got.Err, want, want.Err)
		}
	})
}

// TestMalformedFailure guards against accepting a failure from a VM of another
// version with an unknown kind, for which no counter exists.
func TestMalformedFailure(t *testing.T) {
	for kind, ok := range map[siskin.ErrorKind]bool{
		siskin.Internal: true, siskin.TargetRefused: true, siskin.TargetRefused + 1: false, 255: false, 256: false, 1 << 40: false,
	} {
		b, err := (&Failure{Err: siskin.NewError(kind, "x")}).Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		var f Failure
		if err := f.Decode(b[5:]); (err == nil) != ok {
			t.Errorf("kind %d: got %v, want it accepted: %v", int(kind), err, ok)
		}
	}
}

// FuzzPeerMessages guards against a panic on messages between VMs.
func FuzzPeerMessages(f *testing.F) {
	h, _ := (&Header{Service: "badges", Route: "read", Slot: 1, Remaining: time.Second}).Encode(nil)
	f.Add(h[5:])
	u, _ := unsentFailure(siskin.NewError(siskin.Overloaded, "full")).Encode(nil)
	f.Add(u[5:])
	f.Fuzz(func(_ *testing.T, body []byte) {
		var h Header
		_ = h.Decode(body)
		var u Failure
		if u.Decode(body) == nil && (u.Err.Kind < 0 || u.Err.Kind > siskin.TargetRefused) {
			panic("failure of an unknown kind was accepted")
		}
	})
}

// TestUnsentKeepsRefusals guards against a refusal that loses its kind, and
// against an error that reports an unknown outcome although nothing was sent.
func TestUnsentKeepsRefusals(t *testing.T) {
	for kind, want := range map[siskin.ErrorKind]siskin.ErrorKind{
		siskin.RateExceeded: siskin.RateExceeded, siskin.Overloaded: siskin.Overloaded, siskin.UnknownRoute: siskin.UnknownRoute,
		siskin.OutcomeUnknown: siskin.NotRun, siskin.Unavailable: siskin.NotRun, siskin.Internal: siskin.NotRun,
	} {
		if got := unsentFailure(siskin.NewError(kind, "x")).Err.Kind; got != want {
			t.Errorf("%v: got %v, want %v", kind, got, want)
		}
	}
}

// TestMayCopy guards against a position query that is sent after a COPY FROM
// STDIN and ends it.
func TestMayCopy(t *testing.T) {
	for sql, want := range map[string]bool{
		"copy kv from stdin": true, "/* x */ CoPy kv from stdin": true, "select 1": false, "cop": false,
	} {
		if got := mayCopy([]byte(sql)); got != want {
			t.Errorf("%q: got %v, want %v", sql, got, want)
		}
	}
}

// TestLazyContext guards against a wait that does not end at the deadline or
// when the transaction ends.
func TestLazyContext(t *testing.T) {
	clock := clockwork.NewRealClock()
	c := &lazyContext{clock: clock, deadline: clock.Now().Add(20 * time.Millisecond)}
	if c.Err() != nil {
		t.Fatalf("before the deadline: got %v, want nil", c.Err())
	}
	<-c.Done()
	if c.Err() == nil {
		t.Error("after the deadline: got nil, want an error")
	}
	ended := &lazyContext{clock: clock, deadline: clock.Now().Add(time.Hour)}
	ended.end()
	<-ended.Done()
	if ended.Err() == nil {
		t.Error("after the end: got nil, want an error")
	}
}
