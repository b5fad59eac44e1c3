package admin

import (
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// groupQuery is what a list of groups is asked for.
type groupQuery struct {
	match   string // part of the name of a service
	from    siskin.ServiceName
	limit   int
	timeout time.Duration
}

func parseGroupQuery(v url.Values) (q groupQuery, err error) {
	q = groupQuery{match: v.Get("Match"), from: siskin.ServiceName(v.Get("From")), limit: defaultGroups, timeout: defaultListTime}
	if s := v.Get("Limit"); s != "" {
		if q.limit, err = strconv.Atoi(s); err != nil || q.limit < 1 || q.limit > maxGroups {
			return q, siskin.NewError(siskin.BadInput, "Limit %.20q is not from 1 to %d", s, maxGroups).WithRemedy("ask for the next part with From")
		}
	}
	if s := v.Get("Timeout"); s != "" {
		if q.timeout, err = time.ParseDuration(s); err != nil || q.timeout < minListTime || q.timeout > maxListTime {
			return q, siskin.NewError(siskin.BadInput, "Timeout %.20q is not from %v to %v", s, minListTime, maxListTime).WithRemedy("give a duration such as 5s")
		}
	}
	return q, nil
}

// page returns the services to list, the number of those that match and where
// the next part begins.
func (q *groupQuery) page(services []siskin.ServiceName) (names []siskin.ServiceName, total int, next siskin.ServiceName) {
	for _, name := range services {
		if strings.Contains(string(name), q.match) {
			total++
			if name >= q.from {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	if len(names) > q.limit {
		names, next = names[:q.limit], names[q.limit]
	}
	return names, total, next
}
