package burn

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent, "window": windowName, "round": round,
	"time": func(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") },
}).Parse(pageText))

// maxPlots is the largest number of services with plots, so that a page remains
// readable and is no larger than a few megabytes.
const maxPlots = 24

// plots holds the SVG plots of one series.
type plots struct{ Hour, Days template.HTML }

// WriteHTML writes the report as an HTML page without scripts or external
// resources.
func (r *Report) WriteHTML(w io.Writer) error {
	to := time.Time{}
	for _, vm := range r.VMs {
		if vm.Until.After(to) {
			to = vm.Until
		}
	}
	plotsBySeries := make(map[int]plots)
	for i := range r.Series {
		s := &r.Series[i]
		if s.Dimension != ServiceDimension || len(plotsBySeries) == maxPlots {
			continue
		}
		hour, err := shareSVG(s.Hour, r.VMs, to.Add(-maxFineWindow), to, time.Minute, "15:04")
		if err != nil {
			return err
		}
		days, err := shareSVG(s.Days, r.VMs, to.Add(-longestWindow), to, time.Hour, "02 Jan 15h")
		if err != nil {
			return err
		}
		plotsBySeries[i] = plots{hour, days}
	}
	alerts := 0
	for i := range r.Series {
		alerts += len(r.Series[i].Alerts)
	}
	return page.Execute(w, struct {
		*Report
		Until  time.Time
		Alerts int
		Plots  map[int]plots
	}{r, to, alerts, plotsBySeries})
}
