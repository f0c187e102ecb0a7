package slope

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/experiment"
)

// result is the JSON output of the command.
type result struct {
	Points []Point `json:"points"`
	Fits   []Fit   `json:"fits,omitempty"`
}

// NewCommand returns the command "slope", which measures deployments that factory creates.
func NewCommand(factory experiment.Factory) *cobra.Command {
	var profileName, charts string
	var sizes []int
	config := Config{Factory: factory}
	command := &cobra.Command{
		Use:   "slope",
		Short: "Measure how the cost of the control plane grows with the number of nodes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			profile, err := experiment.FindProfile(profileName)
			if err != nil {
				return err
			}
			config.Profile = profile
			var all result
			for _, size := range sizes {
				config.Nodes = size
				point, err := Measure(c.Context(), config)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.ErrOrStderr(), point)
				all.Points = append(all.Points, point)
			}
			if len(sizes) > 1 {
				if all.Fits, err = Fits(all.Points); err != nil {
					return err
				}
			}
			if charts != "" {
				if _, err := Draw(all.Points, charts, "svg"); err != nil {
					return err
				}
			}
			encoder := json.NewEncoder(c.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(all)
		},
	}
	flags := command.Flags()
	flags.StringVar(&profileName, "profile", "kalasag", "profile to emulate")
	flags.IntSliceVar(&sizes, "sizes", []int{50, 200, 800}, "numbers of nodes")
	flags.DurationVar(&config.Idle, "idle", 10*time.Second, "time over which the idle deployment is measured")
	flags.IntVar(&config.Rollouts, "rollouts", 20, "number of versions to roll out")
	flags.IntVar(&config.Announcements, "announcements", 100, "number of upstream announcements to change")
	flags.StringVar(&charts, "charts", "", "prefix of the SVG charts; empty draws none")
	return command
}
