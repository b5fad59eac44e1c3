package target

import (
	"encoding/json"
	"net/http"
)

// adminHandler serves the faults and the state as JSON. GET /status returns
// the status and counts; GET and POST /faults read and change the Faults, and
// POST keeps the fields that the body leaves out; POST /cut ends all client
// connections, /silence makes them silent for good, /restart ends all
// connections.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Status any
			Stats  Stats
		}{s.store.Status(s.clock.Now()), s.Stats()})
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("POST /faults", s.postFaults)
	for path, f := range map[string]func(){"/cut": s.CutClients, "/silence": s.SilenceOpen, "/restart": s.Restart} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			f()
			writeJSON(w, s.Faults())
		})
	}
	return mux
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	next := s.Faults()
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		http.Error(w, err.Error()+"; send the JSON object that GET /faults returns", http.StatusBadRequest)
		return
	}
	s.SetFaults(func(f *Faults) { *f = next })
	writeJSON(w, s.Faults())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that went away needs no answer
}
