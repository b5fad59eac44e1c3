package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/admin"
	"siskintray.example/siskin/pkg/config"
)

// manyGroups has the services of the planned size. A question takes 5 ms, and
// the homes of silent services do not answer.
type manyGroups struct {
	view     config.View
	asking   atomic.Int64
	most     atomic.Int64
	asked    atomic.Int64
	isSilent func(siskin.ServiceName) bool
}

const services = 23_000

func newManyGroups(isSilent func(siskin.ServiceName) bool) (*manyGroups, admin.Backend) {
	var docs []*config.Service
	for i := range services {
		docs = append(docs, &config.Service{Name: siskin.ServiceName(fmt.Sprintf("ledger-%05d", i))})
	}
	g := &manyGroups{view: config.NewSnapshot(1, docs, nil), isSilent: isSilent}
	return g, admin.Backend{Config: fixedConfig{g}, Groups: g}
}

// Local implements admin.GroupControl: one group of 100 is watched here.
func (g *manyGroups) Local(name siskin.ServiceName) (siskin.GroupView, bool) {
	h := fnv.New32()
	fmt.Fprint(h, name)
	return siskin.GroupView{Term: 1}, h.Sum32()%100 == 0
}

// View implements admin.GroupControl.
func (g *manyGroups) View(ctx context.Context, name siskin.ServiceName) (siskin.GroupView, error) {
	g.asked.Add(1)
	n := g.asking.Add(1)
	defer g.asking.Add(-1)
	for most := g.most.Load(); n > most && !g.most.CompareAndSwap(most, n); most = g.most.Load() {
	}
	answer := time.After(5 * time.Millisecond)
	if g.isSilent(name) {
		answer = nil
	}
	select {
	case <-answer:
		return siskin.GroupView{Term: 2}, nil
	case <-ctx.Done():
		return siskin.GroupView{}, siskin.NewError(siskin.Unavailable, "no VM that answers watches service %s", name)
	}
}

// Promote implements admin.GroupControl.
func (g *manyGroups) Promote(context.Context, siskin.ServiceName, siskin.TargetID, bool) error {
	return nil
}

// fixedConfig is a configuration that cannot change.
type fixedConfig struct{ g *manyGroups }

func (c fixedConfig) View() config.View { return c.g.view }

func (c fixedConfig) Apply(context.Context, *config.Change) (siskin.Revision, error) { return 0, nil }

func (c fixedConfig) Revisions(context.Context) ([]admin.VMRevision, error) { return nil, nil }

func listGroups(t *testing.T, s *admin.Server, query string) (page admin.GroupPage, took time.Duration) {
	t.Helper()
	begun := time.Now()
	w := request(s, "GET /groups"+query)
	took = time.Since(begun)
	if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil || w.Code != 200 {
		t.Fatalf("%s: got %d, %v: %.200s", query, w.Code, err, w.Body)
	}
	return page, took
}

// TestGroupsOfAllServices guards against a list that asks service by service,
// asks for all at once, or loses or repeats a service between two parts.
func TestGroupsOfAllServices(t *testing.T) {
	g, b := newManyGroups(func(siskin.ServiceName) bool { return false })
	s := admin.New(b)
	seen, from, parts, longest := map[siskin.ServiceName]bool{}, "", 0, time.Duration(0)
	for {
		page, took := listGroups(t, s, "?Limit=2000&From="+from)
		parts, longest = parts+1, max(longest, took)
		if page.Total != services || len(page.Missing) > 0 {
			t.Fatalf("got a total of %d and %d missing, want %d and 0", page.Total, len(page.Missing), services)
		}
		for _, status := range page.Groups {
			if seen[status.Service] {
				t.Errorf("%s appears twice", status.Service)
			}
			seen[status.Service] = true
		}
		if from = string(page.Next); from == "" {
			break
		}
	}
	t.Logf("%d services in %d parts, the longest took %v, %d questions, at most %d at once", len(seen), parts, longest, g.asked.Load(), g.most.Load())
	if len(seen) != services {
		t.Errorf("got %d services, want %d", len(seen), services)
	}
	if got := g.most.Load(); got > 32 || got < 2 {
		t.Errorf("got %d questions at once, want 2 to 32", got)
	}
	if got, want := longest, 2000*5*time.Millisecond/4; got > want {
		t.Errorf("longest part took %v, want at most %v, a quarter of the time of one question after another", got, want)
	}
	page, _ := listGroups(t, s, "?Match=-0123")
	if page.Total != 10 || len(page.Groups) != 10 || page.Next != "" {
		t.Errorf("filter: got %d of %d and next %q, want 10 of 10", len(page.Groups), page.Total, page.Next)
	}
}

// TestGroupsWithSilentHomes guards against a list that waits for homes which do
// not answer, that hides them, or that leaves groups out which this VM watches.
func TestGroupsWithSilentHomes(t *testing.T) {
	g, b := newManyGroups(func(name siskin.ServiceName) bool { return name >= "ledger-00100" })
	page, took := listGroups(t, admin.New(b), "?Timeout=300ms&Limit=1000")
	if took > 2*time.Second {
		t.Errorf("took %v, want about the limit of 300ms", took)
	}
	missing := map[siskin.ServiceName]bool{}
	for _, m := range page.Missing {
		missing[m.Service] = true
		if _, local := g.Local(m.Service); local || m.Service < "ledger-00100" || m.Kind != "Unavailable" || m.Message == "" {
			t.Errorf("got %+v missing, want only silent groups, with kind and message", m)
		}
	}
	for _, status := range page.Groups {
		if missing[status.Service] {
			t.Errorf("%s is both there and missing", status.Service)
		}
	}
	if got := len(page.Groups) + len(page.Missing); got != 1000 {
		t.Errorf("got %d groups and %d missing, want 1000 together", len(page.Groups), len(page.Missing))
	}
}

// TestGroupQueries guards against bounds that a request can exceed.
func TestGroupQueries(t *testing.T) {
	_, b := newManyGroups(func(siskin.ServiceName) bool { return false })
	for _, query := range []string{"Limit=0", "Limit=2001", "Limit=x", "Timeout=1h", "Timeout=0s", "Timeout=5"} {
		if got := request(admin.New(b), "GET /groups?"+query).Code; got != 400 {
			t.Errorf("%s: got %d, want 400", query, got)
		}
	}
}
