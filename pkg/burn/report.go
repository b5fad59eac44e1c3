package burn

import (
	"fmt"
	"strings"
	"time"

	"siskintray.example/siskin"
)

// minCoverage is the coverage from which a window counts as complete. With
// fewer than ten VMs the restart of one makes a window incomplete. With more it
// does not, since the other VMs then served most of the traffic.
const minCoverage = 0.9

// Severity is how soon an operator has to respond to an alert.
type Severity string

// Values of Severity.
const (
	Fast   Severity = "Fast"   // immediately
	Medium Severity = "Medium" // today
	Slow   Severity = "Slow"   // this week
)

// Alert reports a burn rate or a write gap above its limit.
type Alert struct {
	Severity Severity
	Reason   string
}

// Report is the evaluation of a record.
type Report struct {
	VMs     []VMRecord
	Windows []WindowReport
	// Incomplete lists the windows with a coverage below 90%, for instance after
	// a restart. Burn rates and budgets describe only the covered part of them.
	Incomplete string `json:",omitempty"`
	Series     []SeriesReport
}

// WindowReport is the coverage of one window by the VMs of the report.
type WindowReport struct {
	Length time.Duration
	// Coverage is the covered share of the window, 1 if every VM ran throughout.
	Coverage float64
}

// SeriesReport is the evaluation of one service or customer.
type SeriesReport struct {
	Dimension  Dimension
	Name       string
	Objectives []ObjectiveReport
	ByKind     map[string]int64 // failed transactions of the longest window, by error kind
	WithinRate int64            // of kind RateExceeded: although within the customer's rate
	Gaps       []Gap            `json:",omitempty"`
	Alerts     []Alert          `json:",omitempty"`
	Hour, Days []Point          `json:",omitempty"`
}

// ObjectiveReport is the evaluation of one objective.
type ObjectiveReport struct {
	Name   string
	Target float64
	Burns  []Burn // one for each window
	// BudgetLeft is the remaining share of the error budget of the longest
	// window. It is negative if the budget is overspent, and nil without data.
	BudgetLeft *float64 `json:",omitempty"`
	// Coverage is the covered share of the longest window.
	Coverage float64
}

// Burn is the burn rate of one window.
type Burn struct {
	Total, Bad int64
	// Rate is 1 if the budget is spent exactly at the end of its period. It is nil
	// without data.
	Rate *float64 `json:",omitempty"`
}

// Evaluate compares a record with the objectives that of returns for each
// service, or with the objectives in the record if of is nil. Customers are
// compared with DefaultObjectives.
func Evaluate(rec Record, of func(siskin.ServiceName) Objectives) Report {
	rep := Report{VMs: rec.VMs}
	var incomplete []string
	for i, w := range Windows {
		coverage := coverageOf(rec.VMs, i)
		rep.Windows = append(rep.Windows, WindowReport{w, coverage})
		if coverage < minCoverage {
			incomplete = append(incomplete, percent(coverage)+" of "+windowName(i))
		}
	}
	if len(incomplete) > 0 {
		rep.Incomplete = "only " + strings.Join(incomplete, ", ") + " is covered; rates and budgets say nothing about the rest"
	}
	for i := range rec.Series {
		s := &rec.Series[i]
		o := DefaultObjectives
		switch {
		case s.Dimension == ServiceDimension && of != nil:
			o = of(siskin.ServiceName(s.Name))
		case s.Objectives != nil:
			o = *s.Objectives
		}
		rep.Series = append(rep.Series, rep.evaluate(s, o))
	}
	return rep
}

func coverageOf(vms []VMRecord, window int) float64 {
	if len(vms) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, vm := range vms {
		sum += vm.Covered[window]
	}
	return float64(sum) / float64(Windows[window]) / float64(len(vms))
}

func (r *Report) evaluate(s *SeriesRecord, o Objectives) SeriesReport {
	last := s.Windows[len(s.Windows)-1]
	rep := SeriesReport{
		Dimension: s.Dimension, Name: s.Name, ByKind: last.ByKind, WithinRate: last.WithinRate,
		Gaps: s.Gaps, Hour: s.Hour, Days: s.Days,
	}
	for _, obj := range objectives {
		or := ObjectiveReport{Name: obj.name, Target: obj.target(o), Coverage: r.Windows[len(r.Windows)-1].Coverage}
		for i := range s.Windows {
			or.Burns = append(or.Burns, burnOf(obj, or.Target, &s.Windows[i]))
		}
		if rate := or.Burns[len(or.Burns)-1].Rate; rate != nil {
			left := 1 - *rate
			or.BudgetLeft = &left
		}
		rep.Alerts = append(rep.Alerts, r.alerts(&or)...)
		rep.Objectives = append(rep.Objectives, or)
	}
	for _, g := range s.Gaps {
		if g.Duration >= o.WriteGap {
			rep.Alerts = append(rep.Alerts, Alert{Fast, fmt.Sprintf("WriteGap: no write was acknowledged for %s until %s, seen by %s; the objective is under %s",
				round(g.Duration), g.At.Format(time.RFC3339), g.VM, o.WriteGap)})
		}
	}
	return rep
}

func burnOf(obj objective, target float64, c *Counts) Burn {
	total, bad := obj.events(c)
	b := Burn{Total: total, Bad: bad}
	if total > 0 {
		rate := float64(bad) / float64(total) / (1 - target)
		b.Rate = &rate
	}
	return b
}

// alerts returns the alert of the most urgent rule that matches the objective.
func (r *Report) alerts(o *ObjectiveReport) []Alert {
	for _, rule := range alertRules {
		short, long := o.Burns[rule.short], o.Burns[rule.long]
		if short.Rate == nil || long.Rate == nil || *short.Rate < rule.rate || *long.Rate < rule.rate {
			continue
		}
		reason := fmt.Sprintf("%s: burn rate %.1f over %s (%d of %d bad) and %.1f over %s (%d of %d bad); both are at least %.1f",
			o.Name, *short.Rate, windowName(rule.short), short.Bad, short.Total, *long.Rate, windowName(rule.long), long.Bad, long.Total, rule.rate)
		if c := r.Windows[rule.long].Coverage; c < minCoverage {
			reason += fmt.Sprintf("; only %s of %s is covered", percent(c), windowName(rule.long))
		}
		return []Alert{{rule.severity, reason}}
	}
	return nil
}

// windowName returns the short windowName of a window, such as "5m" or "3d".
func windowName(window int) string {
	switch d := Windows[window]; {
	case d%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
