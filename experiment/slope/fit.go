package slope

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Metric is a quantity that each point has a value of.
type Metric struct {
	Name  string
	Unit  string
	Value func(Point) float64
}

// Metrics returns the metrics that are fitted against the number of nodes.
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

// Fit is the least-squares line through the points of one metric: value = Base + Slope * nodes.
type Fit struct {
	Metric string `json:"metric"`
	Unit   string `json:"unit"`
	// Base is the value at 0 nodes, Slope the increase for each node, both in Unit.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// RSquared is the coefficient of determination: 1 if all points lie on the line.
	RSquared float64 `json:"r_squared"`
}

// errTooFewPoints is returned by Fits and Draw for fewer than two points.
var errTooFewPoints = errors.New("slope: a fit needs at least two points")

// Fits fits a line to every metric. It returns an error for fewer than two points.
func Fits(points []Point) ([]Fit, error) {
	if len(points) < 2 {
		return nil, errTooFewPoints
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

// columns returns the numbers of nodes and the values of a metric.
func columns(points []Point, metric Metric) (x, y []float64) {
	for _, point := range points {
		x = append(x, float64(point.Nodes))
		y = append(y, metric.Value(point))
	}
	return x, y
}

const (
	chartWidth  = 6 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// Draw writes one chart for each metric, with the points and the fitted line, to the file PREFIX + metric name + "." +
// format. It returns the names of the files written.
func Draw(points []Point, prefix, format string) ([]string, error) {
	fits, err := Fits(points)
	if err != nil {
		return nil, err
	}
	var files []string
	for i, metric := range Metrics() {
		file := prefix + metric.Name + "." + format
		if err := drawChart(points, metric, fits[i], file); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func drawChart(points []Point, metric Metric, fit Fit, file string) error {
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
