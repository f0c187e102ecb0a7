package soak

import (
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// ErrBroken reports that a seed broke a promise.
var ErrBroken = errors.New("soak: a promise was broken")

// regressionSeeds failed once, or recovered only just in time; docs/soak.md has the cause of each.
var regressionSeeds = []uint64{1, 201, 221, 225, 1102, 2113, 2208}

// NewCommand returns the command that plays seeds.
func NewCommand() *cobra.Command {
	var options Options
	var seeds int
	var verbose, regressions bool
	command := &cobra.Command{
		Use:   "soak --binary FILE",
		Short: "Run the real programs under random faults and check what callers, upstreams and operators see",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var list []uint64
			for i := range uint64(seeds) {
				list = append(list, options.Seed+i)
			}
			if regressions {
				list = regressionSeeds
			}
			failed := 0
			for _, seed := range list {
				one := options
				one.Seed = seed
				report, err := Run(c.Context(), one)
				if err != nil {
					report.print(c.OutOrStdout(), true)
					return errors.Wrapf(err, "seed %d", one.Seed)
				}
				report.print(c.OutOrStdout(), verbose)
				if len(report.Broken) > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Wrapf(ErrBroken, "%d of %d seeds", failed, len(list))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Binary, "binary", "target/sapphiregate", "the daemon to run")
	flags.Uint64Var(&options.Seed, "seed", uint64(time.Now().Unix()), "the first seed")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds, one after another")
	flags.DurationVar(&options.Faults, "faults", 20*time.Second, "time for which each seed injects faults")
	flags.BoolVar(&regressions, "regressions", false, "play the seeds that failed before instead")
	flags.BoolVarP(&verbose, "verbose", "v", false, "print the timeline of every seed, not only of those that fail")
	return command
}

func (r *Result) print(w io.Writer, verbose bool) {
	result := "kept"
	if len(r.Broken) > 0 {
		result = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d answers, %d served, %d versions, recovery %v\n", r.Seed, result, r.Sent, r.Served,
		r.Approved, r.Recovery.Round(time.Millisecond))
	if len(r.Broken) == 0 && !verbose {
		return
	}
	for _, e := range r.Timeline {
		fmt.Fprintf(w, "  %7.3f s  %s\n", e.At.Seconds(), e.Text)
	}
	for _, broken := range r.Broken {
		fmt.Fprintln(w, "  broken:", broken)
	}
	if len(r.Broken) > 0 {
		fmt.Fprintln(w, "  logs:", r.Folder)
	}
}
