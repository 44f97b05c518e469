package experiment

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const plotSize = 6 * vg.Inch

// WritePlot draws the latency ratio of each policy against its batch throughput to
// a file whose extension selects the format. The lower right corner is the best.
func (r Report) WritePlot(path string) error {
	drawing := plot.New()
	drawing.Title.Text = r.Deployment + ": harm to online against batch throughput"
	drawing.X.Label.Text = "batch throughput, share of the capacity that online leaves"
	drawing.Y.Label.Text = "online p99 first token with batch / without"
	points := plotter.XYLabels{}
	for _, row := range r.Rows {
		points.XYs = append(points.XYs, plotter.XY{X: row.BatchShare, Y: row.LatencyRatio})
		points.Labels = append(points.Labels, row.Policy)
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.WithStack(err)
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return errors.WithStack(err)
	}
	drawing.Add(plotter.NewGrid(), scatter, labels)
	return errors.WithStack(drawing.Save(plotSize, plotSize, path))
}
