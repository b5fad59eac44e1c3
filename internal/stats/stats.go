// Package stats collects metrics with a bounded number of series and shows them
// in the Prometheus text format. Each VM of a process has its own Stats.
package stats

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// Bounds of the series. One takes about 1.9 KB, so that all take at most 19 MB
// of the 256 MB that control may use on a node.
const (
	maxCustomers = 100
	maxServices  = 200
	maxSeries    = 10000
)

// reportInterval is how old metrics may be when they are read.
const reportInterval = time.Second

// Stats are the metrics of one VM.
type Stats struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
	customer *LabelLimiter
	service  *LabelLimiter
}

// New returns empty metrics. Close them at the end.
func New() *Stats {
	r := newReporter(maxSeries)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "siskintray", Separator: "_", CachedReporter: r, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Stats{scope: scope, closer: closer, reporter: r, customer: NewLabelLimiter(maxCustomers), service: NewLabelLimiter(maxServices)}
}

// Scope returns the scope to create metrics in. Hot paths keep the metrics that
// they use instead of looking them up.
func (s *Stats) Scope() tally.Scope { return s.scope }

// Customer returns the label value of a customer.
func (s *Stats) Customer(id string) string { return s.customer.Value(id) }

// Service returns the label value of a service.
func (s *Stats) Service(name string) string { return s.service.Value(name) }

// WriteText writes the metrics in the Prometheus text format.
func (s *Stats) WriteText(w io.Writer) error { return s.reporter.write(w) }

// ServeHTTP implements http.Handler.
func (s *Stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.reporter.write(w) // the reader went away
}

// Close reports the last values and waits for the reporting goroutine.
func (s *Stats) Close() error { return s.closer.Close() }
