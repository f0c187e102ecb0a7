package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// showProgressLine overwrites one line of a terminal.
func showProgressLine(w io.Writer, p Progress) {
	fmt.Fprintf(w, "\r\x1b[K%5.1fs/%v  offered %d  ended %d  whole %d  not-run %d  unknown %d  violations %d  %s",
		p.Elapsed.Seconds(), p.Duration.Round(time.Second/10), p.Load.Offered, p.Load.Ended, p.Load.Succeeded,
		p.Load.NotRun, p.Load.Unknown, p.Violations, p.Step)
}

// WriteTable writes a report for people.
func WriteTable(out io.Writer, r Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s %s, seed %d, baseline %v, %v\n", r.Profile, r.Scenario, r.Seed, r.Baseline,
		time.Duration(r.DurationMs)*time.Millisecond)
	fmt.Fprintf(w, "convergence\tp50 %.1f ms\tp99 %.1f ms\tmax %.1f ms\n", r.Convergence.P50, r.Convergence.P99, r.Convergence.Max)
	fmt.Fprintf(w, "control bytes\ttotal %d\tcross-zone %d\tfloor %d\n", r.ControlBytes.Total, r.ControlBytes.CrossZone, r.ControlBytes.CrossZoneFloor)
	fmt.Fprintf(w, "added latency\tp50 %.2f ms\tp99 %.2f ms\n", r.AddedLatency.P50, r.AddedLatency.P99)
	fmt.Fprintf(w, "goodput of capacity\t%.3f\n\n", r.GoodputOfCapacity)
	fmt.Fprintln(w, "CLASS\tTOTAL\tWHOLE\tNOT RUN\tUNKNOWN\tFAILED\tGOODPUT")
	for _, class := range classes {
		c := r.Calls.of(class)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\n", class, c.Total, c.Whole, c.NotRun, c.Unknown, c.Failed, *r.GoodputRatio.of(class))
	}
	v := r.Violations
	fmt.Fprintf(w, "\nviolations\t%d\n", v.Total())
	for _, row := range []struct {
		name  string
		count int64
	}{
		{"version_rollback", v.VersionRollback}, {"dangling_route", v.DanglingRoute}, {"partial_apply", v.PartialApply},
		{"wrong_answer", v.WrongAnswer}, {"false_not_run", v.FalseNotRun}, {"double_run", v.DoubleRun},
		{"late_drain_work", v.LateDrainWork}, {"cut_in_flight", v.CutInFlight}, {"reverted_bundle", v.RevertedBundle},
	} {
		fmt.Fprintf(w, "  %s\t%d\n", row.name, row.count)
	}
	return w.Flush()
}

// lineHeader is the header above the lines of reportLine.
var lineHeader = fmt.Sprintf("%-8s %-20s %6s %9s %9s %8s %7s %7s %7s %8s %10s",
	"PROFILE", "SCENARIO", "SEED", "CONV P50", "CONV P99", "ADD P99", "LOOKUP", "IRREV", "REPORT", "CAPACITY", "VIOLATIONS")

// reportLine summarizes a report in one line.
func reportLine(r Report) string {
	return fmt.Sprintf("%-8s %-20s %6d %9.1f %9.1f %8.2f %7.3f %7.3f %7.3f %8.3f %10d",
		r.Profile, r.Scenario, r.Seed, r.Convergence.P50, r.Convergence.P99, r.AddedLatency.P99,
		r.GoodputRatio.Lookup, r.GoodputRatio.Irreversible, r.GoodputRatio.Report, r.GoodputOfCapacity, r.Violations.Total())
}
