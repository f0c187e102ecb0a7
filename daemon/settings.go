package daemon

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"sapphiregate.example/sapphiregate/settings"
)

func newSettingsCommand() *cobra.Command {
	command := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	command.AddCommand(newSettingsCheckCommand())
	return command
}

func newSettingsCheckCommand() *cobra.Command {
	var role string
	command := &cobra.Command{
		Use:   "check --role node|control FILE...",
		Short: "Check settings files and report all errors",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			var all error
			for _, file := range files {
				if err := checkSettings(role, file); err != nil {
					all = errors.CombineErrors(all, err)
					fmt.Fprintln(command.ErrOrStderr(), err)
					continue
				}
				fmt.Fprintf(command.OutOrStdout(), "%s: valid\n", file)
			}
			return errors.Mark(all, errUsage)
		},
	}
	command.Flags().StringVar(&role, "role", "node", "the process that the settings are for: node or control")
	return command
}

// checkSettings returns the errors in the settings file of a node or a control member.
func checkSettings(role, file string) error {
	var err error
	switch role {
	case "node":
		_, err = settings.LoadNode(file)
	case "control":
		_, err = settings.LoadControl(file)
	default:
		err = errors.Newf("daemon: role %q: allowed: node, control", role)
	}
	return err
}
