package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/internal/edge"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

func newEdge() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "edge --settings FILE",
		Short: "Run an edge daemon on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return edge.Run(command.Context(), file)
		},
	}
	addSettingsFlag(command, &file)
	command.AddCommand(newEdgeCheck())
	return command
}

func newEdgeCheck() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check the settings file of an edge daemon",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := settings.LoadEdge(file); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no mistakes found\n", file)
			return nil
		},
	}
	addSettingsFlag(command, &file)
	return command
}
