package objapi

import (
	"encoding/json"
	"net/http"
)

func (s *Server) adminAPI() http.Handler {
	mux := s.api()
	mux.HandleFunc("GET /Faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.faults.get())
	})
	mux.HandleFunc("PUT /Faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			s.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	})
	mux.HandleFunc("POST /SilenceOpen", func(w http.ResponseWriter, _ *http.Request) {
		s.SilenceOpen()
		writeJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("PUT /VMs", func(w http.ResponseWriter, r *http.Request) {
		var vm vmRecord
		if !decode(w, r, &vm) {
			return
		}
		if vm.ID == "" || (vm.State != "Live" && vm.State != "Leaving" && vm.State != "Gone") {
			http.Error(w, "ID must be set and State must be Live, Leaving or Gone", http.StatusBadRequest)
			return
		}
		s.vms.set(vm)
		writeJSON(w, http.StatusOK, vm)
	})
	mux.HandleFunc("GET /Stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
