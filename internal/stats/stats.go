// Package stats collects metrics with a bounded number of series and exports
// them in the Prometheus text format. Each VM of a process has its own Stats.
package stats

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

// Limits on the number of series. A series takes about 1.9 KB, so that all take
// at most 19 MB of the 256 MB that the control plane may use on a node.
const (
	maxCustomers = 100
	maxServices  = 200
	maxSeries    = 10000
)

// reportInterval bounds the age of metrics when they are read.
const reportInterval = time.Second

// Stats are the metrics of one VM.
type Stats struct {
	scope          tally.Scope
	closer         io.Closer
	reporter       *reporter
	customerLabels *LabelLimiter
	serviceLabels  *LabelLimiter
}

// New returns an empty Stats. The caller must call Close.
func New() *Stats {
	r := newReporter(maxSeries)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "siskintray", Separator: "_", CachedReporter: r, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Stats{scope: scope, closer: closer, reporter: r, customerLabels: NewLabelLimiter(maxCustomers), serviceLabels: NewLabelLimiter(maxServices)}
}

// Scope returns the scope to create metrics in. Hot paths should keep the
// metrics that they use instead of looking them up each time.
func (s *Stats) Scope() tally.Scope { return s.scope }

// Customer returns the label value of a customer.
func (s *Stats) Customer(id string) string { return s.customerLabels.Value(id) }

// Service returns the label value of a service.
func (s *Stats) Service(name string) string { return s.serviceLabels.Value(name) }

// WriteText writes the metrics in the Prometheus text format.
func (s *Stats) WriteText(w io.Writer) error { return s.reporter.write(w) }

// ServeHTTP implements http.Handler.
func (s *Stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.reporter.write(w) // the client closed the connection
}

// Close reports the last values and waits for the reporting goroutine.
func (s *Stats) Close() error { return s.closer.Close() }
