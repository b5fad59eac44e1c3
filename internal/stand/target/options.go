package target

import (
	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
)

// Option changes how a stand-in is started.
type Option func(*Server)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(l *log.Logger) Option { return func(s *Server) { s.log = l } }

// WithClock sets the clock of status times and delays.
func WithClock(c siskin.Clock) Option { return func(s *Server) { s.clock = c } }

// WithStore starts the target with the state of an earlier run, as a database
// does that is started again on its disk.
func WithStore(st *store.Store) Option { return func(s *Server) { s.store = st; st.EndSessions() } }
