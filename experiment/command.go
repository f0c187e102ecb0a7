package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// ErrViolated reports that a run violated an invariant.
var ErrViolated = errors.New("experiment: an invariant was violated")

// allNames selects every profile or scenario.
const allNames = "all"

const (
	outputTable = "table"
	outputJSON  = "json"
)

// DefaultFactory builds the Deployment of real nodes and control members.
var DefaultFactory Factory

// NewCommand returns the command "experiment" of sapphirectl. It runs on the Deployment that DefaultFactory builds.
func NewCommand() *cobra.Command { return NewCommandWith(DefaultFactory) }

// flags are the flags that all forms of running share.
type flags struct {
	profile, scenario string
	seed              int64
	baseline          bool
	duration          time.Duration
	nodes             int
	output            string
}

// NewCommandWith returns the command "experiment" on another Deployment.
func NewCommandWith(factory Factory) *cobra.Command {
	var f flags
	command := &cobra.Command{
		Use:           "experiment",
		Short:         "Run a scenario of load and faults and report what was measured",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return runOne(c, factory, f)
		},
	}
	f.register(command)
	command.AddCommand(newListCommand(), newSeedsCommand(factory), newPlotCommand())
	return command
}

func (f *flags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.profile, "profile", "kalasag", "profile to emulate")
	c.Flags().StringVar(&f.scenario, "scenario", "steady", "scenario to run; see the subcommand list")
	c.Flags().Int64Var(&f.seed, "seed", 1, "seed of arrivals, service times, links and faults")
	c.Flags().BoolVar(&f.baseline, "baseline", false, "use full pushes, round robin and blind retries")
	c.Flags().DurationVar(&f.duration, "duration", 0, "duration of the load (default: the scenario's)")
	c.Flags().IntVar(&f.nodes, "nodes", 0, "total number of nodes, up to 1000 (default: one per upstream)")
	c.Flags().StringVar(&f.output, "output", outputTable, "table or json")
}

// maxNodes is the number of nodes that one process carries.
const maxNodes = 1000

func (f *flags) check() error {
	switch {
	case f.output != outputTable && f.output != outputJSON:
		return errors.Newf("experiment: output %q is neither %s nor %s", f.output, outputTable, outputJSON)
	case f.duration < 0:
		return errors.New("experiment: the duration is negative")
	case f.nodes < 0 || f.nodes > maxNodes:
		return errors.Newf("experiment: nodes must be between 0 and %d", maxNodes)
	}
	return nil
}

// config returns the run of one profile, scenario and seed.
func (f *flags) config(factory Factory, profile, scenario string, seed int64) (Config, error) {
	p, err := FindProfile(profile)
	if err != nil {
		return Config{}, err
	}
	s, err := FindScenario(scenario)
	if err != nil {
		return Config{}, err
	}
	return Config{
		Profile: p, Scenario: s, Seed: seed, Baseline: f.baseline, Duration: f.duration, Nodes: f.nodes, Factory: factory,
	}, nil
}

func runOne(c *cobra.Command, factory Factory, f flags) error {
	if err := f.check(); err != nil {
		return err
	}
	config, err := f.config(factory, f.profile, f.scenario, f.seed)
	if err != nil {
		return err
	}
	if f.output == outputTable {
		config.Progress = func(p Progress) { showProgressLine(c.ErrOrStderr(), p) }
	}
	result, err := Run(c.Context(), config)
	if err != nil {
		return err
	}
	if f.output == outputJSON {
		err = json.NewEncoder(c.OutOrStdout()).Encode(result.Report)
	} else {
		fmt.Fprintln(c.ErrOrStderr())
		err = WriteTable(c.OutOrStdout(), result.Report)
	}
	showRemarks(c.ErrOrStderr(), result)
	return errors.CombineErrors(err, violationError(result))
}

func violationError(result Result) error {
	if result.Violated() {
		return ErrViolated
	}
	return nil
}

// showRemarks prints what the report has no field for.
func showRemarks(w io.Writer, result Result) {
	for _, note := range result.Notes {
		fmt.Fprintln(w, "note:", note)
	}
	for _, detail := range result.Details {
		fmt.Fprintln(w, "violation:", detail)
	}
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List profiles and scenarios", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "PROFILE\tZONES\tSERVICES\tWORKERS\tSLOTS\tCONNECTIONS")
			for _, p := range Profiles() {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", p.Name, len(p.Zones), len(p.Services), p.Workers, p.Slots, p.Connections)
			}
			fmt.Fprintln(w, "\nSCENARIO\tDURATION\tABOUT")
			for _, s := range Scenarios() {
				fmt.Fprintf(w, "%s\t%v\t%s\n", s.Name, s.Duration, s.About)
			}
			return w.Flush()
		},
	}
}

func newSeedsCommand(factory Factory) *cobra.Command {
	var f flags
	var count int
	command := &cobra.Command{
		Use:   "seeds",
		Short: "Run many seeds of profiles and scenarios (names, comma-separated, or all) and print one line for each",
		Args:  cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := f.check(); err != nil {
				return err
			}
			return runSeeds(c, factory, f, count)
		},
	}
	f.register(command)
	command.Flags().IntVar(&count, "count", 10, "number of seeds, from --seed upwards")
	return command
}

// runSeeds goes on after a violation, so that the table is complete.
func runSeeds(c *cobra.Command, factory Factory, f flags, count int) error {
	configs, err := f.configs(factory, count)
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	if f.output == outputTable {
		fmt.Fprintln(out, lineHeader)
	}
	var failure error
	for _, config := range configs {
		result, err := Run(c.Context(), config)
		if errors.Is(err, context.Canceled) {
			return err
		}
		if err != nil {
			fmt.Fprintf(c.ErrOrStderr(), "%s %s seed %d: %v\n", config.Profile.Name, config.Scenario.Name, config.Seed, err)
			failure = errors.CombineErrors(failure, err)
			continue
		}
		if f.output == outputJSON {
			err = json.NewEncoder(out).Encode(result.Report)
		} else {
			_, err = fmt.Fprintln(out, reportLine(result.Report))
		}
		showRemarks(c.ErrOrStderr(), result)
		failure = errors.CombineErrors(failure, errors.CombineErrors(err, violationError(result)))
	}
	return failure
}

func (f *flags) configs(factory Factory, count int) ([]Config, error) {
	var configs []Config
	for _, profile := range expand(f.profile, profileNames()) {
		for _, scenario := range expand(f.scenario, scenarioNames()) {
			for i := range count {
				config, err := f.config(factory, profile, scenario, f.seed+int64(i))
				if err != nil {
					return nil, err
				}
				configs = append(configs, config)
			}
		}
	}
	return configs, nil
}

func expand(names string, all []string) []string {
	if names == allNames {
		return all
	}
	return strings.Split(names, ",")
}

func profileNames() []string {
	var names []string
	for _, p := range Profiles() {
		names = append(names, p.Name)
	}
	return names
}

func scenarioNames() []string {
	var names []string
	for _, s := range Scenarios() {
		names = append(names, s.Name)
	}
	return names
}
