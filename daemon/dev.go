package daemon

import "github.com/spf13/cobra"

func newDevCommand() *cobra.Command { return &cobra.Command{Use: "dev"} }
