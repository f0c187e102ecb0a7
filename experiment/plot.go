package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth   = 10
	plotHeight = 4 * vg.Inch
	plotBase   = 4 * vg.Inch
	// plotPerReport widens a plot with the number of reports, so that labels do not overlap.
	plotPerReport = 1.2 * vg.Inch
)

// series is one value of each report.
type series struct {
	name  string
	value func(Report) float64
}

// chart is one plot: groups of bars, one group per report.
type chart struct {
	file, title, unit string
	series            []series
}

func charts() []chart {
	return []chart{
		{"convergence", "Convergence", "ms", []series{
			{"p50", func(r Report) float64 { return r.Convergence.P50 }},
			{"p99", func(r Report) float64 { return r.Convergence.P99 }},
			{"max", func(r Report) float64 { return r.Convergence.Max }},
		}},
		{"control-bytes", "Control bytes", "KB", []series{
			{"total", func(r Report) float64 { return float64(r.ControlBytes.Total) / 1000 }},
			{"cross-zone", func(r Report) float64 { return float64(r.ControlBytes.CrossZone) / 1000 }},
			{"cross-zone floor", func(r Report) float64 { return float64(r.ControlBytes.CrossZoneFloor) / 1000 }},
		}},
		{"added-latency", "Added latency", "ms", []series{
			{"p50", func(r Report) float64 { return r.AddedLatency.P50 }},
			{"p99", func(r Report) float64 { return r.AddedLatency.P99 }},
		}},
		{"goodput", "Goodput", "ratio", []series{
			{"lookup", func(r Report) float64 { return r.GoodputRatio.Lookup }},
			{"irreversible", func(r Report) float64 { return r.GoodputRatio.Irreversible }},
			{"report", func(r Report) float64 { return r.GoodputRatio.Report }},
			{"of capacity", func(r Report) float64 { return r.GoodputOfCapacity }},
		}},
	}
}

func newPlotCommand() *cobra.Command {
	var prefix string
	command := &cobra.Command{
		Use:   "plot REPORT...",
		Short: "Plot the JSON reports in files as PNG and SVG",
		Args:  cobra.MinimumNArgs(1), SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, files []string) error {
			reports, err := readReports(files)
			if err != nil {
				return err
			}
			written, err := Plot(reports, prefix)
			for _, file := range written {
				fmt.Fprintln(c.OutOrStdout(), file)
			}
			return err
		},
	}
	command.Flags().StringVar(&prefix, "prefix", "experiment", "path and first part of the file names")
	return command
}

// readReports reads all reports in the files; a file may hold several.
func readReports(files []string) ([]Report, error) {
	var reports []Report
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "experiment: read reports")
		}
		found, err := decodeReports(file)
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "experiment: read %s", name)
		}
		reports = append(reports, found...)
	}
	if len(reports) == 0 {
		return nil, errors.New("experiment: the files hold no report")
	}
	return reports, nil
}

func decodeReports(in io.Reader) ([]Report, error) {
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	var reports []Report
	for {
		var report Report
		err := decoder.Decode(&report)
		if errors.Is(err, io.EOF) {
			return reports, nil
		}
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
}

// Plot draws one plot per group of metrics and returns the names of the files.
func Plot(reports []Report, prefix string) ([]string, error) {
	var written []string
	for _, c := range charts() {
		p, err := c.draw(reports)
		if err != nil {
			return written, err
		}
		width := plotBase + vg.Length(len(reports))*plotPerReport
		for _, extension := range []string{"png", "svg"} {
			name := fmt.Sprintf("%s-%s.%s", prefix, c.file, extension)
			if err := p.Save(width, plotHeight, name); err != nil {
				return written, errors.Wrap(err, "experiment: write plot")
			}
			written = append(written, name)
		}
	}
	return written, nil
}

func (c chart) draw(reports []Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range c.series {
		values := make(plotter.Values, len(reports))
		for j, report := range reports {
			values[j] = s.value(report)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, errors.Wrap(err, "experiment: draw plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(c.series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	var names []string
	for _, r := range reports {
		names = append(names, plotLabel(r))
	}
	p.NominalX(names...)
	return p, nil
}

func plotLabel(r Report) string {
	label := fmt.Sprintf("%s\n%s\nseed %d", r.Profile, r.Scenario, r.Seed)
	if r.Baseline {
		label += "\nbaseline"
	}
	return label
}
