package slope

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Metric is one column of the points.
type Metric struct {
	Name string
	Unit string
	Of   func(Point) float64
}

// Metrics lists what is fitted against the number of nodes.
func Metrics() []Metric {
	return []Metric{
		{"idle-cpu", "ms/s", func(p Point) float64 { return p.IdleCPU }},
		{"idle-bytes", "B/s", func(p Point) float64 { return p.IdleBytes }},
		{"idle-cross-zone", "B/s", func(p Point) float64 { return p.IdleCrossZone }},
		{"memory", "B", func(p Point) float64 { return p.HeapBytes }},
		{"goroutines", "", func(p Point) float64 { return p.Goroutines }},
		{"rollout-cpu", "ms", func(p Point) float64 { return p.RolloutCPU }},
		{"rollout-bytes", "B", func(p Point) float64 { return p.RolloutBytes }},
		{"announcement-cpu", "ms", func(p Point) float64 { return p.AnnouncementCPU }},
		{"announcement-bytes", "B", func(p Point) float64 { return p.AnnouncementBytes }},
		{"convergence-p99", "ms", func(p Point) float64 { return p.ConvergenceMs.P99 }},
	}
}

// Fit is a straight line through the points of one metric.
type Fit struct {
	Metric string `json:"metric"`
	Unit   string `json:"unit"`
	// Base is the value at 0 nodes, Slope the growth with each node.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// RSquared tells how much of the variation the line explains.
	RSquared float64 `json:"r_squared"`
}

// errFewPoints means that no line can be fitted.
var errFewPoints = errors.New("slope: a fit needs points at two sizes")

// Fits fits every metric.
func Fits(points []Point) ([]Fit, error) {
	if len(points) < 2 {
		return nil, errFewPoints
	}
	var fits []Fit
	for _, metric := range Metrics() {
		x, y := columns(points, metric)
		base, slope := stat.LinearRegression(x, y, nil, false)
		fits = append(fits, Fit{
			Metric: metric.Name, Unit: metric.Unit, Base: base, Slope: slope,
			RSquared: stat.RSquared(x, y, nil, base, slope),
		})
	}
	return fits, nil
}

func columns(points []Point, metric Metric) (x, y []float64) {
	for _, point := range points {
		x = append(x, float64(point.Nodes))
		y = append(y, metric.Of(point))
	}
	return x, y
}

const (
	chartWidth  = 6 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// Draw writes one chart for each metric, with the points and the fitted line, and returns the file names.
func Draw(points []Point, prefix, format string) ([]string, error) {
	fits, err := Fits(points)
	if err != nil {
		return nil, err
	}
	var files []string
	for i, metric := range Metrics() {
		file := prefix + metric.Name + "." + format
		if err := drawOne(points, metric, fits[i], file); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func drawOne(points []Point, metric Metric, fit Fit, file string) error {
	chart := plot.New()
	chart.Title.Text = metric.Name
	chart.X.Label.Text = "nodes"
	chart.Y.Label.Text = metric.Unit
	chart.X.Min, chart.Y.Min = 0, 0
	x, y := columns(points, metric)
	pairs := make(plotter.XYs, len(x))
	for i := range x {
		pairs[i] = plotter.XY{X: x[i], Y: y[i]}
	}
	scatter, err := plotter.NewScatter(pairs)
	if err != nil {
		return errors.Wrapf(err, "slope: chart %s", metric.Name)
	}
	chart.Add(scatter, plotter.NewFunction(func(n float64) float64 { return fit.Base + fit.Slope*n }))
	if err := chart.Save(chartWidth, chartHeight, file); err != nil {
		return errors.Wrapf(err, "slope: save %s", file)
	}
	return nil
}
