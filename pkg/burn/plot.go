package burn

import (
	"bytes"
	"html/template"
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var (
	lineColor = color.RGBA{R: 0xb0, G: 0x2a, B: 0x1a, A: 0xff}
	bandColor = color.RGBA{R: 0xdd, G: 0xdd, B: 0xdd, A: 0xff}
)

// shareSVG renders sharePlot as an SVG element.
func shareSVG(points []Point, vms []VMRecord, from, to time.Time, step time.Duration, format string) (template.HTML, error) {
	p, err := sharePlot(points, vms, from, to, step, format)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(16*vg.Centimeter, 4.5*vg.Centimeter)
	// The label of a tick at the end of the axis needs space on the right.
	p.Draw(draw.Crop(draw.New(canvas), 0, -vg.Centimeter, 0, 0))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	// An SVG element inside HTML has no XML header.
	_, svg, _ := bytes.Cut(b.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}

// sharePlot plots the share of bad transactions per step. Grey bands mark time
// in which no VM of the report ran, to distinguish it from a share of zero.
func sharePlot(points []Point, vms []VMRecord, from, to time.Time, step time.Duration, format string) (*plot.Plot, error) {
	p := plot.New()
	p.X.Min, p.X.Max = seconds(from), seconds(to)
	p.X.Tick.Marker = plot.TimeTicks{Format: format}
	p.Y.Label.Text = "bad, %"
	lines, maxY := steps(points, step, to)
	p.Y.Min, p.Y.Max = 0, maxY
	for _, band := range uncovered(vms, from, to) {
		x0, x1 := seconds(band.From), seconds(band.To)
		poly, err := plotter.NewPolygon(plotter.XYs{{X: x0, Y: 0}, {X: x1, Y: 0}, {X: x1, Y: maxY}, {X: x0, Y: maxY}})
		if err != nil {
			return nil, err
		}
		poly.Color, poly.LineStyle.Width = bandColor, 0
		p.Add(poly)
	}
	for _, xys := range lines {
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = lineColor, vg.Points(1.2)
		p.Add(line)
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = seconds(from), seconds(to), 0, maxY
	return p, nil
}

// steps returns one line for each sequence of points without a gap, and the
// maximum of the y axis.
func steps(points []Point, step time.Duration, to time.Time) (lines []plotter.XYs, maxY float64) {
	maxY = 1
	for i, pt := range points {
		if i == 0 || pt.At.Sub(points[i-1].At) > step {
			lines = append(lines, nil)
		}
		share := 0.0
		if pt.Total > 0 {
			share = 100 * float64(pt.Bad) / float64(pt.Total)
		}
		maxY = max(maxY, share*1.05)
		last := &lines[len(lines)-1]
		*last = append(*last, plotter.XY{X: seconds(pt.At), Y: share}, plotter.XY{X: min(seconds(pt.At.Add(step)), seconds(to)), Y: share})
	}
	return lines, maxY
}

func seconds(t time.Time) float64 { return float64(t.Unix()) }

// uncovered returns the intervals between from and to in which no VM ran.
func uncovered(vms []VMRecord, from, to time.Time) []Interval {
	var up []Interval
	for _, vm := range vms {
		start := vm.Since
		for _, d := range vm.Down {
			up = append(up, Interval{start, d.From})
			start = d.To
		}
		up = append(up, Interval{start, vm.Until})
	}
	slices.SortFunc(up, func(a, b Interval) int { return a.From.Compare(b.From) })
	var down []Interval
	end := from
	for _, s := range up {
		if s.From.After(end) {
			down = append(down, Interval{end, s.From})
		}
		if s.To.After(end) {
			end = s.To
		}
	}
	if to.After(end) {
		down = append(down, Interval{end, to})
	}
	return down
}
