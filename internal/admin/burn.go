package admin

import (
	"bytes"
	"net/http"

	"siskintray.example/siskin/pkg/burn"
)

// burnRecord returns the counts, of all VMs with ?Fleet=yes.
func (s *Server) burnRecord(r *http.Request) (any, error) {
	return s.backend.Burn.Record(r.Context(), r.URL.Query().Get("Fleet") == "yes")
}

func (s *Server) evaluate(r *http.Request) (*burn.Report, error) {
	rec, err := s.backend.Burn.Record(r.Context(), r.URL.Query().Get("Fleet") == "yes")
	if err != nil {
		return nil, err
	}
	rep := burn.Evaluate(rec, s.backend.Burn.Objectives)
	return &rep, nil
}

func (s *Server) burnReport(r *http.Request) (any, error) { return s.evaluate(r) }

func (s *Server) burnPage(w http.ResponseWriter, r *http.Request) {
	rep, err := s.evaluate(r)
	if err != nil {
		writeError(w, err)
		return
	}
	var b bytes.Buffer
	if err := rep.WriteHTML(&b); err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = w.Write(b.Bytes()) // the reader went away
}
