package config

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"siskintray.example/siskin"
)

// TestMain fixes the seed of randomized tests, so that a run can be repeated.
// Override it with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// drawAnswers draws valid answers, which Generate must accept.
func drawAnswers(t *rapid.T, service string) Answers {
	n := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "targets")
	a := Answers{Service: Service{
		Name: siskin.ServiceName(service), Slots: rapid.IntRange(1, 8).Draw(t, "slots"),
		ConnectionsPerSlot: rapid.IntRange(1, 64).Draw(t, "connections"), MaxUnconfirmed: Duration(1e9),
		AckReplicas: rapid.IntRange(1, (n-1)/2).Draw(t, "ack"), KeyGrace: Duration(rapid.Int64Range(0, 1e12).Draw(t, "grace")),
		Credentials: Credentials{User: "rw", Password: "#1", ReadUser: "ro", ReadPassword: "\"2\"", Database: "d"},
		Routes:      []Route{{Name: "w", Mode: WriteRoute, Deadline: Duration(5e9)}, {Name: "r", Mode: ReadRoute, Open: true, OpenCustomer: "c-0", Deadline: Duration(1e9)}},
	}}
	for i := range n {
		a.Service.Targets = append(a.Service.Targets, Target{DataCentre: "x", Address: fmt.Sprintf("10.0.%d.%d:5432", service[0], i+1)})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "customers") {
		key := Key{ID: "k", Digest: fmt.Sprintf("%064x", i+1)}
		a.Customers = append(a.Customers, Customer{ID: siskin.CustomerID(fmt.Sprintf("c-%d", i)), Rate: siskin.RequestsPerSecond(i + 1), Burst: 5, Weight: 1, Keys: []Key{key}})
	}
	return a
}

// TestGenerateRoundTrip guards against valid answers that are rejected, and
// against fields of a change that are lost in its JSON encoding.
func TestGenerateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change, found := Generate(nil, drawAnswers(t, "a"), drawAnswers(t, "b"))
		if len(found) > 0 {
			t.Fatal(found.Err())
		}
		data, err := EncodeChange(change)
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeChange(data)
		if err != nil || !reflect.DeepEqual(read, change) {
			t.Fatalf("got %v, %v, want the encoded change", read, err)
		}
		view := NewStaticView(change.Services, change.Customers)
		if d := Diff(view, NewOverlay(view, read)); !d.IsEmpty() {
			t.Fatalf("got %s, want no difference", d.Text())
		}
		if got, want := len(view.Customers()), len(change.Customers); got != want {
			t.Fatalf("got %d customers, want %d", got, want)
		}
	})
}

// TestGenerateContradiction guards against answers of one team that silently
// change the rate of a customer that it shares with another team.
func TestGenerateContradiction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawAnswers(t, "a"), drawAnswers(t, "b")
		b.Customers[0].Rate++
		change, found := Generate(nil, a, b)
		if change != nil || len(found) != 1 || found[0].Place != "Customer/c-0/Rate" {
			t.Fatalf("got %v, %v, want one finding at Customer/c-0/Rate", change, found)
		}
	})
}

// TestGenerateFirst guards against a first change that is based on a revision
// which does not exist.
func TestGenerateFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change, found := Generate(nil, drawAnswers(t, "a"))
		if len(found) > 0 || change.Base != 0 {
			t.Fatalf("got %v, %v, want a change based on revision 0", change, found.Err())
		}
	})
}

// TestConflict guards against a concurrent change that is reported as a
// malformed one, and against a malformed change that is reported as a conflict.
func TestConflict(t *testing.T) {
	conflict := Finding{Place: "Change/Base"}
	for _, c := range []struct {
		found Findings
		want  siskin.ErrorKind
	}{{Findings{conflict, conflict}, siskin.Conflict}, {Findings{conflict, {Place: "Service/a"}}, siskin.BadInput}} {
		if got := siskin.KindOf(c.found.Err()); got != c.want {
			t.Errorf("got %v, want %v", got, c.want)
		}
	}
}

// TestDiffHidesSecrets guards against a password in the output of a command.
func TestDiffHidesSecrets(t *testing.T) {
	a := &Service{Name: "a", Credentials: Credentials{Password: "hunter2", ReadPassword: "hunter3"}}
	b := *a
	b.Credentials.Password = "hunter4"
	d := Diff(NewStaticView([]*Service{a}, nil), NewStaticView([]*Service{&b}, []*Customer{{ID: "c", Keys: []Key{{ID: "k", Digest: "hunter5"}}}}))
	if got := d.Text(); strings.Contains(got, "hunter") || !strings.Contains(got, "Credentials.Password: (hidden) -> (hidden)") {
		t.Errorf("got %s, want the change without the values", got)
	}
}

// TestDecodeRefuses guards against a decoder that accepts malformed, incomplete
// or oversized JSON.
func TestDecodeRefuses(t *testing.T) {
	for _, text := range []string{
		``, `null x`, `[]`, `{"Base":1}{}`, `{"Unknown":1}`, `{"Services":[null]}`, `{"Customers":[null]}`,
		`{"Services":[{"Name":"a","KeyGraze":"1s"}]}`, `{"Services":[{"Name":"a"}]}`,
		`{"Services":[{"KeyGrace":5}]}`, `{"Base":-1}`, strings.Repeat(`[`, 1<<20+1),
	} {
		if c, err := DecodeChange([]byte(text)); err == nil {
			t.Errorf("%.40q: got %v, want an error", text, c)
		}
	}
}

// FuzzDecodeChange guards against a panic in the decoder and the checks, and
// against a valid change that cannot be encoded.
func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"Services":[{"Name":"a","KeyGrace":"1s","Targets":[{"ID":"a/1","Address":"10.0.0.1:1"}],"Routes":[{"Open":true}]}],"Customers":[{"ID":"c","Rate":1e308}]}`))
	f.Add([]byte(`{"Services":[{"KeyGrace":"1s"}],"services":[{},{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		Diff(NewStaticView(nil, nil), NewOverlay(NewStaticView(nil, nil), c))
		if found := Validate(nil, c); len(found) == 0 {
			if _, err := EncodeChange(c); err != nil {
				t.Errorf("valid change cannot be encoded: %v", err)
			}
		}
	})
}

// BenchmarkValidate measures a change of one service among 23,000.
func BenchmarkValidate(b *testing.B) {
	var services []*Service
	for i := range 23000 {
		s := &Service{Name: siskin.ServiceName(fmt.Sprintf("s-%d", i)), Slots: 2, ConnectionsPerSlot: 16, AckReplicas: 1, MaxUnconfirmed: Duration(1e9)}
		for j := range 3 {
			s.Targets = append(s.Targets, Target{ID: siskin.TargetID(fmt.Sprintf("s-%d/%d", i, j)), DataCentre: "x", Address: fmt.Sprintf("10.%d.%d.%d:5432", i>>8, i&255, j+1)})
		}
		s.Routes = []Route{{Name: "r", Mode: ReadRoute, Deadline: Duration(1e9)}}
		s.Credentials = Credentials{User: "a", Password: "a", ReadUser: "b", ReadPassword: "b", Database: "d"}
		services = append(services, s)
	}
	view, put := NewStaticView(services, nil), *services[7]
	for b.Loop() {
		if found := Validate(view, &Change{Base: 1, Services: []*Service{&put}}); len(found) > 0 {
			b.Fatal(found.Err())
		}
	}
}
