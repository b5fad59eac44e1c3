package objapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"siskintray.example/siskin"
)

// heartbeatInterval is the time between two signs of life of a waiting watch.
// Clients find a silent connection within 3 s, so several fit into that time.
const heartbeatInterval = time.Second

func (s *Server) api() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /Objects", s.list)
	mux.HandleFunc("GET /Objects/{name...}", s.get)
	mux.HandleFunc("PUT /Objects/{name...}", s.put)
	mux.HandleFunc("GET /VMs", s.listVMs)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, next := s.store.list(siskin.ObjectName(q.Get("Prefix")), siskin.ObjectName(q.Get("From")))
	writeJSON(w, http.StatusOK, struct {
		Objects []object
		Next    siskin.ObjectName
	}{page, next})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := siskin.ObjectName(r.PathValue("name"))
	if r.URL.Query().Has("After") {
		s.watch(w, r, name)
		return
	}
	o, _ := s.store.get(name)
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, name siskin.ObjectName) {
	after, err := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "After and WaitMs must be numbers", http.StatusBadRequest)
		return
	}
	if !s.counters.startWait(s.cfg.MaxWatches) {
		http.Error(w, "too many waiting watches", http.StatusServiceUnavailable)
		return
	}
	defer s.counters.endWait()
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	begun := false
	for {
		o, changed := s.store.get(name)
		if o.Version > siskin.Version(after) {
			writeWatched(w, begun, o)
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			begun = true
			_, _ = w.Write([]byte(" "))
			_ = http.NewResponseController(w).Flush()
		case <-end.C:
			if !begun {
				w.WriteHeader(http.StatusNoContent)
				return
			}
			_, _ = w.Write([]byte("null"))
			return
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func writeWatched(w http.ResponseWriter, begun bool, o object) {
	if !begun {
		writeJSON(w, http.StatusOK, o)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value     []byte
		IfVersion siskin.Version
		Operation siskin.OperationID
	}
	// Base64 makes the body a third larger than the value.
	r.Body = http.MaxBytesReader(w, r.Body, int64(siskin.MaxObjectSize)*3/2)
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		status := http.StatusBadRequest
		if r.ContentLength > int64(siskin.MaxObjectSize) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return
	}
	if len(body.Value) > int(siskin.MaxObjectSize) {
		http.Error(w, "value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	o, ok := s.store.put(siskin.ObjectName(r.PathValue("name")), body.Value, body.IfVersion, body.Operation)
	if !ok {
		writeJSON(w, http.StatusConflict, struct {
			Version siskin.Version
			Recent  []update
		}{o.Version, o.Recent})
		return
	}
	writeJSON(w, http.StatusOK, struct{ Version siskin.Version }{o.Version})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct{ VMs []vmRecord }{s.vms.list()})
}
