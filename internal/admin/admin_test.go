package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/internal/admin/admintest"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/quest"
	"siskintray.example/siskin/pkg/config"
)

var update = flag.Bool("update", false, "rewrite the expected answers")

// fake returns a backend that holds the example configuration of one firm.
func fake(t *testing.T) *admintest.Fake {
	t.Helper()
	const path = "../../examples/syntyma/badges-families.ini"
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	form, found := quest.Read(path, data)
	if len(found) > 0 {
		t.Fatal(found.Err())
	}
	change, found := quest.Generate(nil, form)
	if len(found) > 0 {
		t.Fatal(found.Err())
	}
	f := admintest.New()
	if _, err := f.Apply(t.Context(), change); err != nil {
		t.Fatal(err)
	}
	return f
}

// TestScripts guards against requests that are answered wrongly, that change
// something although they are refused, or that show a secret. Each line of a
// script is a request: a method, a path and for POST a body.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	if len(files) == 0 {
		t.Fatal("no test data")
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			a, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			f := fake(t)
			var audit bytes.Buffer
			server := admin.New(f.Backend(), admin.WithLogger(logs.New("info", "text", &audit)))
			var got strings.Builder
			for line := range strings.Lines(string(a.Files[0].Data)) {
				line = strings.TrimSpace(line)
				if line == "down" {
					f.Down.Store(true)
					continue
				}
				w := request(server, line)
				fmt.Fprintf(&got, "> %s\n%d %s", line, w.Code, w.Body)
			}
			for line := range strings.Lines(audit.String()) {
				_, line, _ = strings.Cut(line, "Z ")
				got.WriteString("log: " + line)
			}
			if want := &a.Files[1]; got.String() != string(want.Data) {
				if *update {
					want.Data = []byte(got.String())
					_ = os.WriteFile(path, txtar.Format(a), 0o644)
					return
				}
				t.Errorf("got:\n%s\nwant:\n%s", got.String(), want.Data)
			}
		})
	}
}

func request(h http.Handler, line string) *httptest.ResponseRecorder {
	parts := append(strings.SplitN(line, " ", 3), "", "")
	r := httptest.NewRequest(parts[0], "http://127.0.0.1:6480"+parts[1], strings.NewReader(parts[2]))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestBrowser guards against a page in an operator's browser that reaches the
// listener on loopback, by a foreign name or by a form.
func TestBrowser(t *testing.T) {
	server := admin.New(fake(t).Backend())
	for _, c := range []struct {
		host, contentType string
		want              int
	}{
		{"127.0.0.1:6480", "application/json", 200},
		{"[::1]:6480", "application/json", 200},
		{"localhost:6480", "application/json", 200},
		{"rebind.example:6480", "application/json", 400},
		{"127.0.0.1:6480", "text/plain", 400},
		{"127.0.0.1:6480", "", 400},
	} {
		r := httptest.NewRequest("POST", "/vms/vm-1/leave", nil)
		r.Host = c.host
		r.Header.Set("Content-Type", c.contentType)
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		if w.Code != c.want {
			t.Errorf("%s %q: got %d, want %d", c.host, c.contentType, w.Code, c.want)
		}
	}
}

// TestOptional guards against profiles that are served without being asked for.
func TestOptional(t *testing.T) {
	f := fake(t)
	if got := request(admin.New(f.Backend()), "GET /debug/pprof/").Code; got != 404 {
		t.Errorf("got %d, want 404 without the option", got)
	}
	s := admin.New(f.Backend(), admin.WithProfiling(), admin.WithMetrics(http.NotFoundHandler()))
	if got := request(s, "GET /debug/pprof/").Code; got != 200 {
		t.Errorf("got %d, want 200 with the option", got)
	}
	if w := request(s, "GET /burn/page"); w.Code != 200 || !strings.Contains(w.Body.String(), "<svg") {
		t.Errorf("got %d, want a page with plots", w.Code)
	}
}

// TestLimits guards against a body of any size and against an unbounded number
// of running requests.
func TestLimits(t *testing.T) {
	f := fake(t)
	s := admin.New(f.Backend())
	if got := request(s, "POST /config/check "+strings.Repeat(" ", 2<<20)).Code; got != 413 {
		t.Errorf("got %d for a large body, want 413", got)
	}
	if got := request(s, "POST /keys/withdraw {\"Customer\":\""+strings.Repeat("x", 100<<10)).Code; got != 400 {
		t.Errorf("got %d for a large request, want 400", got)
	}
	b := f.Backend()
	wait := &waiting{entered: make(chan struct{}), leave: make(chan struct{})}
	b.Status = wait
	s = admin.New(b)
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() { request(s, "GET /status") })
		<-wait.entered
	}
	if got := request(s, "GET /vms").Code; got != 503 {
		t.Errorf("got %d with 32 requests running, want 503", got)
	}
	close(wait.leave)
	wg.Wait()
	if got := request(s, "GET /vms").Code; got != 200 {
		t.Errorf("got %d after they ended, want 200", got)
	}
}

// lagging is a VM whose configuration in force is older than the newest.
type lagging struct{ *admintest.Fake }

func (lagging) View() config.View { return config.NewSnapshot(0, nil, nil) }

// TestApplyWhileLagging guards against a VM that refuses a valid change because
// it does not know the configuration yet that the change was made from.
func TestApplyWhileLagging(t *testing.T) {
	f := fake(t)
	b := f.Backend()
	b.Config = lagging{f}
	change := `{"Base":1,"Customers":[{"ID":"clubs","Rate":5,"Burst":9,"Weight":1,"Services":["badges-families"]}]}`
	if w := request(admin.New(b), "POST /config/apply "+change); w.Code != 200 {
		t.Errorf("got %d %s, want 200", w.Code, w.Body)
	}
	if w := request(admin.New(b), "POST /config/check "+change); w.Code != 409 {
		t.Errorf("got %d %s, want 409 from a check against the configuration in force", w.Code, w.Body)
	}
}

type waiting struct{ entered, leave chan struct{} }

func (w *waiting) Status(context.Context) (admin.Status, error) {
	w.entered <- struct{}{}
	<-w.leave
	return admin.Status{}, nil
}

// TestClient guards against a client that takes a lost answer to a change for a
// change that did not happen, or that loses the kind of an error.
func TestClient(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := fake(t)
	handler := admin.New(f.Backend())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.URL.Path == "/vms/vm-2/leave" {
			panic(http.ErrAbortHandler) // the answer is lost
		}
	}))
	defer server.Close()
	c := admin.NewClient(server.Listener.Addr().String(), nil)
	var vms []admin.VMStatus
	if err := c.Get(t.Context(), "/vms", &vms); err != nil || len(vms) != 2 {
		t.Errorf("got %v, %v, want 2 VMs", vms, err)
	}
	kind := func(err error) string { return siskin.KindOf(err).String() }
	if got := kind(c.Get(t.Context(), "/customers/nobody", &vms)); got != "UnknownRoute" {
		t.Errorf("got %s, want UnknownRoute", got)
	}
	var out json.RawMessage
	if got := kind(c.Post(t.Context(), "/vms/vm-2/leave", struct{}{}, &out)); got != "OutcomeUnknown" {
		t.Errorf("got %s for a lost answer, want OutcomeUnknown", got)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := kind(admin.NewClient(l.Addr().String(), nil).Post(context.Background(), "/vms/vm-2/leave", struct{}{}, &out)); got != "Unavailable" {
		t.Errorf("got %s for a closed port, want Unavailable", got)
	}
}
