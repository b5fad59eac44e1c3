package config

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"siskintray.example/siskin"
)

// Bounds of a service. They are well above the current sizes (section 1.6 of the
// design) and keep one document from using a large part of the fleet.
const (
	maxTargets            = 15
	maxRoutes             = 64
	maxSlots              = 256
	maxConnectionsPerSlot = 10000
)

func checkService(r *report, s *Service) {
	checkSize(r, s)
	checkGroup(r, s)
	checkRoutes(r, s)
	checkCredentials(r, s.Credentials)
	checkDuration(r, "KeyGrace", s.KeyGrace, 0, maxKeyGrace)
	checkObjectives(r, s.Objectives)
}

func checkSize(r *report, s *Service) {
	if _, err := EncodeService(s); err != nil {
		r.add("", "remove targets or routes", "%v", err)
	}
}

func checkGroup(r *report, s *Service) {
	checkCount(r, "Targets", len(s.Targets), 1, maxTargets)
	for i, t := range s.Targets {
		field := fmt.Sprintf("Targets/%d/", i)
		if group, name, ok := strings.Cut(string(t.ID), "/"); !ok || !ValidName(group) || !ValidName(name) {
			r.add(field+"ID", "write the group and the target with a slash, such as ledger-a/1", "%s is not the id of a target", quote(t.ID))
		}
		checkName(r, field+"DataCentre", t.DataCentre)
		if _, ok := parseAddress(t.Address); !ok {
			r.add(field+"Address", "write an IP number and a port, such as 10.1.0.5:5432; names are not looked up", "%s is not an address", quote(t.Address))
		}
	}
	checkAckReplicas(r, s)
	checkCount(r, "Slots", s.Slots, 1, maxSlots)
	checkCount(r, "ConnectionsPerSlot", s.ConnectionsPerSlot, 1, maxConnectionsPerSlot)
	checkDuration(r, "OpenTime", s.OpenTime, 0, MaxDeadline)
	checkDuration(r, "MaxUnconfirmed", s.MaxUnconfirmed, time.Millisecond, MaxDeadline)
}

// checkAckReplicas requires 1 <= k and 2k < N. Then any two sets of N - k
// targets overlap, so that at most one VM is elected per term.
func checkAckReplicas(r *report, s *Service) {
	k, n := s.AckReplicas, len(s.Targets)
	switch {
	case k < 1:
		r.add("AckReplicas", "use at least 1, so that a write is on two targets before it is acknowledged", "AckReplicas is %d", k)
	case k > n/2 || 2*k >= n:
		r.add("AckReplicas", fmt.Sprintf("use at most %d or add targets", max((n-1)/2, 0)), "AckReplicas is %d with %d targets; twice AckReplicas must stay below the number of targets", k, n)
	}
}

func checkRoutes(r *report, s *Service) {
	checkCount(r, "Routes", len(s.Routes), 1, maxRoutes)
	seen := map[siskin.RouteName]bool{}
	for i := range s.Routes {
		route := &s.Routes[i]
		field := fmt.Sprintf("Routes/%d/", i)
		checkName(r, field+"Name", route.Name)
		if seen[route.Name] {
			r.add(field+"Name", "give each route its own name", "route %s appears twice", quote(route.Name))
		}
		seen[route.Name] = true
		checkRoute(r, field, route)
	}
}

func checkRoute(r *report, field string, route *Route) {
	switch route.Mode {
	case ReadRoute:
		checkDuration(r, field+"MaxAge", route.MaxAge, 0, 24*time.Hour)
	case WriteRoute:
		if route.MaxAge != 0 {
			r.add(field+"MaxAge", "remove it or make the route a read route", "a write route has no age")
		}
		if route.Repeatable {
			r.add(field+"Repeatable", "remove it; only read routes are repeated", "a write route is not repeated")
		}
	default:
		r.add(field+"Mode", "use Read or Write", "%s is not a mode", quote(route.Mode))
	}
	if route.Deadline.Std() < time.Millisecond || route.Deadline.Std() > MaxDeadline {
		r.add(field+"Deadline", "use a duration from 1ms to 60s, so that no request waits longer", "%s is out of bounds", route.Deadline)
	}
	if route.Open && route.OpenCustomer == "" {
		r.add(field+"OpenCustomer", "name the customer whose rate counts requests without a key", "open route has no OpenCustomer")
	}
	if !route.Open && route.OpenCustomer != "" {
		r.add(field+"OpenCustomer", "remove it or open the route", "route is not open but names an OpenCustomer")
	}
}

func checkCredentials(r *report, c Credentials) {
	for _, part := range []struct{ name, value string }{
		{"User", c.User},
		{"Password", c.Password},
		{"ReadUser", c.ReadUser},
		{"ReadPassword", c.ReadPassword},
		{"Database", c.Database},
	} {
		if part.value == "" {
			r.add("Credentials/"+part.name, "set the service's own account at its targets", "%s is empty", part.name)
		}
		if len(part.value) > 256 || !utf8.ValidString(part.value) || strings.ContainsFunc(part.value, unicode.IsControl) {
			r.add("Credentials/"+part.name, "use up to 256 bytes without control characters", "%s has forbidden characters or is too long", part.name)
		}
	}
	if c.User != "" && c.User == c.ReadUser {
		r.add("Credentials/ReadUser", "create an account without write privileges for read routes", "ReadUser is the same account as User")
	}
	if c.Password != "" && c.Password == c.ReadPassword {
		r.add("Credentials/ReadPassword", "give each account its own password", "ReadPassword equals Password")
	}
}
