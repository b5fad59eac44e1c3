package admin

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Bounds of the server. Operators and one scraper use it; the bounds keep a
// faulty script from taking the VM's memory.
const (
	maxRequests    = 32
	requestTimeout = 20 * time.Second
)

// Server serves operators.
type Server struct {
	backend Backend
	mux     *http.ServeMux
	running chan struct{}
	lists   chan struct{} // lists of groups in progress
	logger  *log.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithLogger logs each change that an operator makes.
func WithLogger(l *log.Logger) Option { return func(s *Server) { s.logger = l } }

// WithMetrics serves metrics at /metrics.
func WithMetrics(h http.Handler) Option { return func(s *Server) { s.mux.Handle("GET /metrics", h) } }

// WithProfiling serves profiles of the Go runtime below /debug/pprof/.
func WithProfiling() Option {
	return func(s *Server) {
		s.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		s.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		s.mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
		s.mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
}

// New returns a server. It is an http.Handler; the caller listens.
func New(b Backend, options ...Option) *Server {
	s := &Server{backend: b, mux: http.NewServeMux(), running: make(chan struct{}, maxRequests), lists: make(chan struct{}, maxLists)}
	s.get("GET /status", s.status)
	s.get("GET /invariants", s.invariants)
	s.get("GET /config/export", s.exportConfig)
	s.get("GET /config/status", s.configStatus)
	s.get("POST /config/check", s.checkConfig)
	s.get("POST /config/diff", s.diffConfig)
	s.get("POST /config/apply", s.applyConfig)
	s.get("GET /customers", s.customers)
	s.get("GET /customers/{id}", s.customer)
	s.get("POST /keys/grant", s.grantKey)
	s.get("POST /keys/withdraw", s.withdrawKey)
	s.get("GET /groups", s.groups)
	s.get("GET /groups/{service}", s.group)
	s.get("POST /groups/{service}/promote", s.promote)
	s.get("GET /vms", s.vms)
	s.get("POST /vms/{id}/leave", s.leave)
	s.get("GET /burn", s.burnReport)
	s.get("GET /burn/record", s.burnRecord)
	s.mux.HandleFunc("GET /burn/page", s.burnPage)
	for _, o := range options {
		o(s)
	}
	return s
}

// get registers a handler that returns a value for JSON or an error.
func (s *Server) get(pattern string, handle func(r *http.Request) (any, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		v, err := handle(r.WithContext(ctx))
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	if err := checkRequest(r); err != nil {
		writeError(w, err)
		return
	}
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		writeError(w, siskin.NewError(siskin.Overloaded, "%d requests of operators are running", maxRequests).
			WithRemedy("repeat it later").WithRetryAfter(time.Second))
		return
	}
	s.mux.ServeHTTP(w, r)
}

// checkRequest refuses what a web page in a browser can send.
func checkRequest(r *http.Request) error {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err != nil && host != "localhost" {
		return siskin.NewError(siskin.BadInput, "host %.80q is not an IP number", host).WithRemedy("address the VM by its IP number")
	}
	if r.Method == http.MethodPost && r.Header.Get("Content-Type") != "application/json" {
		return siskin.NewError(siskin.BadInput, "content type is not application/json").WithRemedy("send JSON with the header Content-Type: application/json")
	}
	return nil
}

// audit logs a change that an operator made or failed to make.
func (s *Server) audit(r *http.Request, action, detail string, err error) {
	if s.logger == nil {
		return
	}
	e := s.logger.Info()
	if err != nil {
		e = s.logger.Warn().Err(err)
	}
	e.Str("Action", action).Str("Detail", detail).Str("Remote", r.RemoteAddr).Msg("operator request")
}
