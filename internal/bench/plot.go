package bench

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlot writes the figures of one unit, the first figure's, as bars in SVG.
func (r *Result) WritePlot(w io.Writer) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ", profile " + r.Profile
	var values plotter.Values
	var names []string
	for _, f := range r.Figures {
		if f.Unit == r.Figures[0].Unit {
			values = append(values, f.Value)
			names = append(names, f.Name)
			p.Y.Label.Text = f.Unit
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(18))
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = -0.4
	p.X.Tick.Label.XAlign = -0.05
	p.X.Tick.Label.Font.Size = vg.Points(7)
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	_, err = c.WriteTo(w)
	return err
}
