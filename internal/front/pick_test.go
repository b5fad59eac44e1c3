package front

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestPick guards against a transaction that is sent to a target which cannot
// serve it, or which is not the preferred one.
func TestPick(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/pick.txtar")
	if err != nil {
		t.Fatal(err)
	}
	routes := map[string]*config.Route{
		"write": {Mode: config.WriteRoute},
		"read":  {Mode: config.ReadRoute},
		"aged":  {Mode: config.ReadRoute, MaxAge: config.Duration(time.Minute)},
	}
	var service *config.Service
	var view siskin.GroupView
	for _, file := range archive.Files {
		lines := strings.Split(strings.TrimSpace(string(file.Data)), "\n")
		if file.Name == "targets" {
			service, view = parseTargets(t, lines)
			continue
		}
		for _, line := range lines {
			f := strings.Fields(line)
			n := requirements{route: routes[f[0]], dc: "dc-0"}
			if _, err := fmt.Sscanf(f[1], "%d:%d", &n.floor.Term, &n.floor.LSN); err != nil {
				t.Fatal(err)
			}
			if f[2] != "-" {
				for _, id := range strings.Split(f[2], ",") {
					n.tried = append(n.tried, siskin.TargetID(id))
				}
			}
			got := "none"
			if target, ok := pickTarget(service, &view, n, func(int) int { return 1 }); ok {
				got = string(target.ID)
			}
			if want := f[3]; got != want {
				t.Errorf("%s: got %s, want %s", line, got, want)
			}
		}
	}
}

func parseTargets(t *testing.T, lines []string) (*config.Service, siskin.GroupView) {
	t.Helper()
	service, view := &config.Service{}, siskin.GroupView{}
	for _, line := range lines {
		f := strings.Fields(line)
		st := siskin.TargetView{Reachable: !strings.Contains(line, "unreachable")}
		st.Status.ID, st.Status.Leaving = siskin.TargetID(f[0]), strings.Contains(line, "leaving")
		if f[2] == "primary" {
			st.Status.Role, view.Primary = siskin.RolePrimary, st.Status.ID
		}
		if _, err := fmt.Sscan(f[3], &st.Status.StreamTerm); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Sscan(f[4], &st.Status.Applied); err != nil {
			t.Fatal(err)
		}
		var err error
		if st.Staleness, err = time.ParseDuration(f[5]); err != nil {
			t.Fatal(err)
		}
		service.Targets = append(service.Targets, config.Target{ID: st.Status.ID, DataCentre: siskin.DataCentreID(f[1])})
		view.Targets = append(view.Targets, st)
	}
	return service, view
}

// BenchmarkPick measures picking a target for a transaction, including the
// lookup of its service and route.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100_000} {
		b.Run(fmt.Sprint("services=", n), func(b *testing.B) {
			services := make([]*config.Service, n)
			for i := range services {
				services[i] = &config.Service{Name: siskin.ServiceName(fmt.Sprint("s", i)), Routes: []config.Route{{Name: "read", Mode: config.ReadRoute}}}
				for t := range 3 {
					services[i].Targets = append(services[i].Targets, config.Target{ID: siskin.TargetID(fmt.Sprintf("s%d/%d", i, t)), DataCentre: "dc-0"})
				}
			}
			configured := config.NewStaticView(services, nil)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				view := siskin.GroupView{Primary: services[0].Targets[0].ID}
				for i := range 3 {
					view.Targets = append(view.Targets, siskin.TargetView{Status: siskin.TargetStatus{ID: services[0].Targets[i].ID}, Reachable: true})
				}
				for pb.Next() {
					service, _ := configured.Service("s0")
					route, _ := service.Route("read")
					if _, ok := pickTarget(service, &view, requirements{route: route, dc: "dc-0"}, rand.IntN); !ok {
						b.Error("no target")
						return
					}
				}
			})
		})
	}
}
