package objapi

import (
	"net/http"
	"strings"
	"time"
)

// withFaults counts each call, applies the budget and the present faults.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		ok := s.budget.Allow()
		s.counters.call(kindOf(r), ok)
		if f.Refuse {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		if f.Silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if !ok {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "call budget exceeded", http.StatusTooManyRequests)
			return
		}
		if f.DelayMs > 0 {
			select {
			case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		if s.faults.loseAnswer(r.Method == http.MethodPut) {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func kindOf(r *http.Request) string {
	switch {
	case r.Method == http.MethodPut:
		return "Put"
	case strings.HasPrefix(r.URL.Path, "/VMs"):
		return "VMs"
	case r.URL.Query().Has("After"):
		return "Watch"
	case r.URL.Path == "/Objects":
		return "List"
	default:
		return "Get"
	}
}

// discardWriter runs a handler whose answer is lost.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardWriter) WriteHeader(int) {}
