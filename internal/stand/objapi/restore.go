package objapi

import (
	"maps"

	"siskintray.example/siskin"
)

// Objects is a copy of the stored objects.
type Objects struct {
	objects map[siskin.ObjectName]object
}

// CopyObjects returns a copy of the stored objects for RestoreObjects.
func (s *Server) CopyObjects() Objects {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return Objects{maps.Clone(s.store.objects)}
}

// RestoreObjects makes the API return from an older copy: later updates are lost,
// and their versions are given out again.
func (s *Server) RestoreObjects(o Objects) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.objects = maps.Clone(o.objects)
}
