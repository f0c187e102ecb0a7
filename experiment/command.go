package experiment

import (
	"github.com/spf13/cobra"
)

// NewCommand returns the command "experiment" of sapphirectl. It runs on the Deployment that DefaultFactory builds.
func NewCommand() *cobra.Command { return NewCommandWith(DefaultFactory) }

// DefaultFactory builds the Deployment of real nodes and control members.
var DefaultFactory Factory

// NewCommandWith returns the command "experiment" on another Deployment.
func NewCommandWith(factory Factory) *cobra.Command {
	return &cobra.Command{Use: "experiment", Short: "Run a scenario and report what was measured"}
}
