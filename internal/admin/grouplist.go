package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"siskintray.example/siskin"
)

// Bounds of a list of groups. The planned size has 23,000 services, whose views
// are spread over the fleet.
const (
	defaultGroups = 200
	maxGroups     = 2000
	// maxAsking is the number of services that are asked for at once for one
	// list, and maxLists that of lists. At 10 ms a question, 200 services take
	// less than 0.1 s.
	maxAsking = 32
	maxLists  = 4

	defaultListTime = 5 * time.Second
	minListTime     = 100 * time.Millisecond
	maxListTime     = 15 * time.Second // below requestTimeout
)

// groups lists groups. Services that this VM watches need no question and are
// always in the answer; the others are asked for at once within the time limit.
func (s *Server) groups(r *http.Request) (any, error) {
	q, err := parseGroupQuery(r.URL.Query())
	if err != nil {
		return nil, err
	}
	select {
	case s.lists <- struct{}{}:
		defer func() { <-s.lists }()
	default:
		return nil, siskin.NewError(siskin.Overloaded, "%d lists of groups are being made", maxLists).WithRemedy("repeat it later").WithRetryAfter(time.Second)
	}
	names, total, next := q.page(s.backend.Config.View().Services())
	list := &groupList{page: GroupPage{Groups: make([]GroupStatus, 0, len(names)), Total: total, Next: next}}
	ctx, cancel := context.WithTimeout(r.Context(), q.timeout)
	defer cancel()
	pool := pond.NewPool(maxAsking)
	for _, name := range names {
		if v, ok := s.backend.Groups.Local(name); ok {
			list.add(name, v, nil)
			continue
		}
		pool.Submit(func() {
			if ctx.Err() != nil {
				list.add(name, siskin.GroupView{}, siskin.NewError(siskin.Unavailable, "not asked within %v", q.timeout))
				return
			}
			v, err := s.backend.Groups.View(ctx, name)
			list.add(name, v, err)
		})
	}
	pool.StopAndWait()
	return list.done(), nil
}

// groupList collects the answers of a list.
type groupList struct {
	mu   sync.Mutex
	page GroupPage
}

func (l *groupList) add(name siskin.ServiceName, v siskin.GroupView, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.page.Missing = append(l.page.Missing, MissingGroup{Service: name, Kind: siskin.KindOf(err).String(), Message: err.Error()})
		return
	}
	l.page.Groups = append(l.page.Groups, groupStatus(name, v))
}

func (l *groupList) done() *GroupPage {
	slices.SortFunc(l.page.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(l.page.Missing, func(a, b MissingGroup) int { return cmp.Compare(a.Service, b.Service) })
	return &l.page
}
