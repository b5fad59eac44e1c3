package trail

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// finishedMessage is the message of the line logged at the end of each request.
const finishedMessage = "request finished"

// Cause summarizes the requests with the same result and reason.
type Cause struct {
	// Code is the result code. Late reports whether the requests succeeded but
	// exceeded the latency threshold.
	Code string
	Late bool
	// Reason is, for a failed request, why its last attempt ended, and, for a
	// late one, the phase that took longest: Queue, Target or Way (transit).
	Reason string
	Count  int
	// VMs and Customers count the distinct entry VMs and customers.
	VMs, Customers int
	First, Last    time.Time
	// Longest is the maximum duration of these requests.
	Longest time.Duration
}

// Report counts failed and late requests by cause.
type Report struct {
	// Requests is the number of finished requests in the logs. NotLogged is the
	// number whose lines were suppressed to limit the log volume.
	Requests, NotLogged int
	Causes              []Cause
}

// Causes returns the causes of failed requests, and of successes that took longer
// than late, most frequent first. If late is zero, successes are not included.
func Causes(lines []Line, late time.Duration) Report {
	type key struct {
		code, reason string
		late         bool
	}
	type sum struct {
		Cause
		vms       map[siskin.VMID]bool
		customers map[siskin.CustomerID]bool
	}
	var r Report
	sums := make(map[key]*sum)
	for i := range lines {
		l := &lines[i]
		if l.Message != finishedMessage {
			continue
		}
		r.Requests++
		r.NotLogged += l.Suppressed
		k := key{code: l.Code, reason: l.Reason}
		if l.Code == siskin.Succeeded.String() {
			if late == 0 || l.Took <= late {
				continue
			}
			k.late, k.reason = true, l.longestPhase()
		}
		s := sums[k]
		if s == nil {
			s = &sum{
				Cause: Cause{Code: k.code, Late: k.late, Reason: k.reason, First: l.Time, Last: l.Time},
				vms:   make(map[siskin.VMID]bool), customers: make(map[siskin.CustomerID]bool),
			}
			sums[k] = s
		}
		s.Count++
		s.vms[l.VM], s.customers[l.Customer] = true, true
		s.Longest = max(s.Longest, l.Took)
		if l.Time.Before(s.First) {
			s.First = l.Time
		}
		if l.Time.After(s.Last) {
			s.Last = l.Time
		}
	}
	for _, s := range sums {
		s.VMs, s.Customers = len(s.vms), len(s.customers)
		r.Causes = append(r.Causes, s.Cause)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Reason, b.Reason))
	})
	return r
}

// longestPhase returns the phase that took most of the request's time.
func (l *Line) longestPhase() string {
	transit := l.Took - l.Waited - l.Ran
	switch {
	case l.Waited >= l.Ran && l.Waited >= transit:
		return "Queue"
	case l.Ran >= transit:
		return "Target"
	default:
		return "Way"
	}
}
