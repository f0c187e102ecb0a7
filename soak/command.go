package soak

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// ErrViolation reports that at least one seed violated a guarantee.
var ErrViolation = errors.New("soak: a guarantee was violated")

// regressionSeeds are seeds that violated a guarantee before, or recovered only just within recoveryTimeout;
// docs/soak.md has the cause of each.
var regressionSeeds = []uint64{1, 201, 205, 221, 225, 1102, 2113, 2208}

// plannedRegressionSeeds are those of planned work.
var plannedRegressionSeeds = []uint64{1, 3, 6, 11, 101, 103, 104, 105, 106, 107, 112, 50001, 50104, 50105}

// coreRegressionSeeds are those of faults of the core.
var coreRegressionSeeds = []uint64{11, 12, 128}

// NewCommand returns the command that runs one or more seeds and prints a report line for each.
func NewCommand() *cobra.Command {
	var options Options
	var seedCount int
	var verbose, regressions bool
	command := &cobra.Command{
		Use:   "soak --binary FILE",
		Short: "Run the real programs under random faults and check what callers, upstreams and operators see",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var seeds []uint64
			for i := range uint64(seedCount) {
				seeds = append(seeds, options.Seed+i)
			}
			if regressions {
				switch {
				case options.Core:
					seeds = coreRegressionSeeds
				case options.Planned:
					seeds = plannedRegressionSeeds
				default:
					seeds = regressionSeeds
				}
			}
			failed := 0
			options.Core = options.Core || options.Teams || options.Replacements
			for _, seed := range seeds {
				seedOptions := options
				seedOptions.Seed = seed
				report, err := Run(c.Context(), seedOptions)
				if err != nil {
					report.print(c.OutOrStdout(), true)
					return errors.Wrapf(err, "seed %d", seedOptions.Seed)
				}
				report.print(c.OutOrStdout(), verbose)
				if len(report.Violations) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Wrapf(ErrViolation, "%d of %d seeds", failed, len(seeds))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Binary, "binary", "target/sapphiregate", "the daemon to run")
	flags.Uint64Var(&options.Seed, "seed", uint64(time.Now().Unix()), "the first seed")
	flags.IntVar(&seedCount, "seeds", 1, "number of seeds, one after another")
	flags.DurationVar(&options.FaultDuration, "faults", 20*time.Second, "duration of the fault injection of each seed")
	flags.IntVar(&options.Nodes, "nodes", DefaultNodes, "number of nodes")
	flags.BoolVar(&options.Planned, "planned", false, "series of planned work instead of random faults")
	flags.BoolVar(&options.Core, "core", false, "faults of the control members, and a check of when versions come into force")
	flags.BoolVar(&options.Replacements, "replacements", false, "planned stops of control members in series, with spare processes, as well as the checks of --core")
	flags.BoolVar(&options.Teams, "teams", false, "keys and a quota of teams, and rollouts, as well as --core, and herds of nodes that are killed")
	flags.BoolVar(&regressions, "regressions", false, "run the seeds that failed before instead of --seed and --seeds")
	flags.BoolVarP(&verbose, "verbose", "v", false, "print the timeline of every seed, not only of those that violate a guarantee")
	return command
}

// print writes the report line of a seed; the timeline follows if a guarantee was violated or verbose is set.
func (r *Result) print(w io.Writer, verbose bool) {
	result := "kept"
	if len(r.Violations) > 0 {
		result = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d answers, %d served, %d on kept connections, %d crossed a close, %d versions, recovery %v\n",
		r.Seed, result, r.Responses, r.Served, r.Kept, r.Crossed, r.ApprovedVersion, r.Recovery.Round(time.Millisecond))
	if r.Busiest > 0 {
		fmt.Fprintf(w, "  at most %d of %.0f requests of the limited team in %v; %d rollouts completed, %d rolled back, the leader killed in %d\n",
			r.Busiest, float64(quotaBound), quotaWindow, r.Completed, r.RolledBack, r.LeadersKilled)
	}
	if len(r.Violations) == 0 && !verbose {
		return
	}
	for _, e := range r.Timeline {
		fmt.Fprintf(w, "  %7.3f s  %s\n", e.At.Seconds(), e.Text)
	}
	for _, broken := range r.Violations {
		fmt.Fprintln(w, "  broken:", broken)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(w, "  logs:", r.Folder)
	}
}
