package trail

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// finishedMessage is the message of the line that ends each request.
const finishedMessage = "request finished"

// Cause sums up the requests that ended in one way.
type Cause struct {
	// Code is the answer, and Late that it was a success that took too long.
	Code string
	Late bool
	// Reason is what ended the last attempt of a request that failed, and the
	// largest part of the time of a late one: Queue, Target or Way.
	Reason string
	Count  int
	// VMs and Customers are the numbers of entry VMs and customers concerned.
	VMs, Customers int
	First, Last    time.Time
	// Longest is the longest time that one took.
	Longest time.Duration
}

// Report is the breakdown of a time by causes.
type Report struct {
	// Requests is the number of lines about the end of a request, and NotLogged
	// that of lines left out to bound the log.
	Requests, NotLogged int
	Causes              []Cause
}

// Causes returns the causes of requests that were not served, and of successes
// that took longer than late, most frequent first. A late of zero leaves these
// out.
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

// longestPhase says where most of the time of a request went.
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
