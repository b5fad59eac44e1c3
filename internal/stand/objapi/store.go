package objapi

import (
	"slices"
	"strings"
	"sync"

	"siskintray.example/siskin"
)

const (
	recentOperations = 16
	pageBytes        = 4 << 20
)

type update struct {
	Operation siskin.OperationID
	Version   siskin.Version
}

type object struct {
	Name      siskin.ObjectName
	Version   siskin.Version
	Operation siskin.OperationID
	Value     []byte
	Recent    []update
}

// store holds the objects. Stored values are replaced, never modified.
type store struct {
	mu      sync.Mutex
	objects map[siskin.ObjectName]object
	changed map[siskin.ObjectName]chan struct{}
}

func newStore() *store {
	return &store{objects: make(map[siskin.ObjectName]object), changed: make(map[siskin.ObjectName]chan struct{})}
}

// get returns the object and a channel that is closed at its next change.
func (s *store) get(name siskin.ObjectName) (object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	o.Name = name
	ch := s.changed[name]
	if ch == nil {
		ch = make(chan struct{})
		s.changed[name] = ch
	}
	return o, ch
}

// put replaces the value when the version matches.
func (s *store) put(name siskin.ObjectName, value []byte, ifVersion siskin.Version, op siskin.OperationID) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	if o.Version != ifVersion {
		return o, false
	}
	o.Name, o.Value, o.Operation = name, value, op
	o.Version++
	o.Recent = append(slices.Clone(o.Recent), update{op, o.Version})
	if n := len(o.Recent); n > recentOperations {
		o.Recent = o.Recent[n-recentOperations:]
	}
	s.objects[name] = o
	if ch := s.changed[name]; ch != nil {
		close(ch)
		delete(s.changed, name)
	}
	return o, true
}

// list returns one page of the objects under prefix and the start of the next.
func (s *store) list(prefix, from siskin.ObjectName) (page []object, next siskin.ObjectName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []siskin.ObjectName
	for name := range s.objects {
		if strings.HasPrefix(string(name), string(prefix)) && name >= from {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page = []object{}
	size := 0
	for _, name := range names {
		o := s.objects[name]
		if size += len(o.Value); size > pageBytes && len(page) > 0 {
			return page, name
		}
		page = append(page, o)
	}
	return page, ""
}
