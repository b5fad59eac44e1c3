// Package surge sends the statements of a customer that at times asks for several
// times its rate on all routes, and checks what overloaded VMs tell it.
package surge

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

const (
	// excess is the part of its rate that the customer asks for while it surges.
	excess = 4
	// window is the time over which statements are counted.
	window = 5 * time.Second
	// redialPause is the time after which a VM that refused a session is tried again.
	redialPause = 10 * time.Millisecond
)

// Load is the load of one customer.
type Load struct {
	Routes []string
	// Callers is the number of callers of each route. Half of them return when a
	// refusal says so, the others keep their pace.
	Callers     int
	Rate, Burst float64
	// Dial opens a session of the customer at any VM.
	Dial func(route string, rng *rand.Rand) (*stand.Client, error)

	quiet atomic.Bool // the customer asks for half of its rate
	calm  atomic.Bool // no fault is present

	mu       sync.Mutex
	refused  map[string]string // text by the request that was refused as not run
	served   map[string]int    // statements by route
	problems []string
	// unserved are the returns at a stated time that were not served.
	unserved []string
	ended    time.Time // when the load did
	returned int       // returns at a stated time after the load has ended
}

// SetQuiet ends or begins a surge.
func (l *Load) SetQuiet(on bool) { l.quiet.Store(on) }

// SetCalm states that no fault is present. It must stay so until the load ends.
func (l *Load) SetCalm() { l.calm.Store(true) }

// Run sends statements until stop is closed and the last caller has returned at
// its stated time.
func (l *Load) Run(seed int64, stop <-chan struct{}) {
	l.refused, l.served = make(map[string]string), make(map[string]int)
	var all sync.WaitGroup
	for n := range l.Callers * len(l.Routes) {
		c := &caller{
			l: l, n: n, route: l.Routes[n%len(l.Routes)], patient: n/len(l.Routes)%2 == 0,
			rng: rand.New(rand.NewSource(seed*1000 + int64(n))),
		}
		all.Go(func() { c.run(stop) })
	}
	<-stop
	l.mu.Lock()
	l.ended = time.Now()
	l.mu.Unlock()
	all.Wait()
}

// pace returns the time between two statements of a caller.
func (l *Load) pace() time.Duration {
	factor := float64(excess)
	if l.quiet.Load() {
		factor = 0.5
	}
	return time.Duration(float64(l.Callers*len(l.Routes)) / (factor * l.Rate) * float64(time.Second))
}

func (l *Load) problem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

// CheckOpen checks the answer to a statement of a transaction that a target has
// begun. Such statements go before new work, so none is refused for its rate or,
// as long as there is no fault, for a place.
func (l *Load) CheckOpen(text string, res *stand.Result) {
	if res.Code == "BUSY" || l.calm.Load() && res.Code == "ABORTED" && strings.Contains(res.Text, "(Overload)") {
		l.problem("%s in an open transaction, request %s: got %s %s, want it to go before new work", text, res.Request, res.Code, res.Text)
	}
}

// Check reports what broke a guarantee after the load has ended.
func (l *Load) Check(t *testing.T, p *stand.Platform, service, customer string) {
	t.Helper()
	for _, s := range l.problems {
		t.Error(s)
	}
	stated, refused := 0, len(l.refused)
	for _, text := range l.refused {
		if (&stand.Result{Text: text}).RetryAfter() > 0 {
			stated++
		}
	}
	t.Run("Returns", func(t *testing.T) {
		for _, s := range l.unserved {
			t.Error(s)
		}
	})
	t.Run("NotRun", func(t *testing.T) {
		for _, r := range p.Records(service) {
			// A target that answers READONLY has run nothing.
			if text, ok := l.refused[r.Request]; ok && r.Code != "READONLY" {
				t.Errorf("%s, request %s, refused with %q: got it run by %s, want it not run", r.Text(), r.Request, text, r.Target)
				delete(l.refused, r.Request)
			}
		}
	})
	var times []time.Time
	for _, target := range p.Targets(service) {
		times = append(times, target.Arrivals(customer)...)
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := int((l.Rate*window.Seconds()+l.Burst)*1.1)+20, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		if got := i - first + 1; got > most {
			t.Errorf("statements of a customer within %v: got %d, want at most %d", window, got, most)
			break
		}
	}
	if len(times) < int(l.Rate) {
		t.Errorf("statements of the customer with many requests: got %d, want at least %v", len(times), l.Rate)
	}
	t.Logf("customer above its rate: %d statements ran, served %v, %d refused as not run, %d of them with a time, %d returned at it after the load",
		len(times), l.served, refused, stated, l.returned)
}
