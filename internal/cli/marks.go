package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

func (r *runner) targetsCommand() *cobra.Command {
	command := &cobra.Command{Use: "targets", Aliases: []string{"target"}, Short: "List targets and mark them to join or leave"}
	command.AddCommand(r.targetsList())
	r.addMarkCommands(command, "targets", r.completeTargets)
	return command
}

func (r *runner) instancesCommand() *cobra.Command {
	command := &cobra.Command{
		Use: "instances", Aliases: []string{"instance"}, Short: "List entry instances and mark them to join or leave",
	}
	command.AddCommand(r.instancesList())
	r.addMarkCommands(command, "instances", r.completeInstances)
	return command
}

// addMarkCommands adds "mark join" and "mark leave", and their short forms "join" and "leave".
func (r *runner) addMarkCommands(command *cobra.Command, resource string, complete completionFunc) {
	for _, state := range []entity.MarkState{entity.JoinMark, entity.LeaveMark} {
		command.AddCommand(r.markCommand(resource, state, complete))
	}
	mark := &cobra.Command{Use: "mark", Short: "Mark " + resource}
	for _, state := range []entity.MarkState{entity.JoinMark, entity.LeaveMark} {
		mark.AddCommand(r.markCommand(resource, state, complete))
	}
	command.AddCommand(mark)
}

type completionFunc = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective)

// markCommand returns the command that sets the mark of targets or instances to state.
func (r *runner) markCommand(resource string, state entity.MarkState, complete completionFunc) *cobra.Command {
	var flags changeFlags
	var file string
	command := &cobra.Command{
		Use:               string(state) + " ID...",
		Short:             fmt.Sprintf("Mark %s to %s, in one change", resource, state),
		ValidArgsFunction: complete,
		Args: func(command *cobra.Command, args []string) error {
			if len(args) == 0 {
				return usageErrorf("%s needs at least one id", command.CommandPath())
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			marks := make([]adminapi.Mark, 0, len(args))
			for _, id := range args {
				marks = append(marks, adminapi.Mark{ID: id, State: state})
			}
			if file != "" {
				if err := addDescription(marks, file); err != nil {
					return err
				}
			}
			return r.mark(command, &flags, marks)
		},
	}
	flags.register(command)
	if resource == "targets" && state == entity.JoinMark {
		command.Flags().StringVar(&file, "description", "",
			"file (JSON with comments) that describes a target that is not in the preset")
	}
	return command
}

// addDescription adds the target described in file to marks, which must hold exactly one mark.
func addDescription(marks []adminapi.Mark, file string) error {
	if len(marks) != 1 {
		return usageErrorf("--description needs exactly one id, got %d", len(marks))
	}
	target := new(entity.Target)
	if err := readFile(file, target); err != nil {
		return err
	}
	if string(target.ID) != marks[0].ID {
		return usageErrorf("%s describes target %q, not %q", file, target.ID, marks[0].ID)
	}
	marks[0].Target = target
	return nil
}

func (r *runner) mark(command *cobra.Command, flags *changeFlags, marks []adminapi.Mark) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	accepted, err := flags.sendChange(command, client, func(id string, expected uint64) (adminapi.Accepted, error) {
		return client.mark(command.Context(), adminapi.Marks{ChangeID: id, ExpectedVersion: expected, Marks: marks})
	})
	if err != nil {
		return err
	}
	return r.print(accepted, func() {
		for _, mark := range marks {
			r.printf("version %d accepted: %s marked %s\n", accepted.Version, mark.ID, mark.State)
		}
	})
}

func (r *runner) targetsList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List targets with their marks",
		Args:  exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			var targets adminapi.Targets
			if err := client.get(command.Context(), adminapi.TargetsPath, &targets); err != nil {
				return err
			}
			return r.print(targets, func() {
				rows := r.newTable("ID", "KIND", "ZONE", "SERVES", "URL", "MARK", "LISTED")
				for _, t := range targets.Targets {
					serves := string(t.Service)
					if t.Kind == entity.EngineTarget {
						serves = fmt.Sprintf("%s [%d,%d)", t.Model, t.Layers.From, t.Layers.To)
					}
					rows.add(string(t.ID), string(t.Kind), string(t.Zone), serves, t.URL, markText(t.Mark), orDash(t.Listed))
				}
				rows.flush()
			})
		},
	}
}

func (r *runner) instancesList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List entry instances with their marks",
		Args:  exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			var instances adminapi.Instances
			if err := client.get(command.Context(), adminapi.InstancesPath, &instances); err != nil {
				return err
			}
			return r.print(instances, func() {
				rows := r.newTable("ID", "ZONE", "ADDRESS", "STATE", "VERSION", "MARK", "LISTED")
				for _, i := range instances.Instances {
					rows.add(i.ID, i.Zone, i.Address, stateText(i.DaemonStatus), fmt.Sprint(i.Version), markText(i.Mark), orDash(i.Listed))
				}
				rows.flush()
			})
		},
	}
}

func (r *runner) completeTargets(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	var targets adminapi.Targets
	client, err := r.client()
	if err == nil {
		err = client.get(command.Context(), adminapi.TargetsPath, &targets)
	}
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ids := make([]string, 0, len(targets.Targets))
	for _, target := range targets.Targets {
		ids = append(ids, string(target.ID))
	}
	return ids, cobra.ShellCompDirectiveNoFileComp
}

func (r *runner) completeInstances(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
	var instances adminapi.Instances
	client, err := r.client()
	if err == nil {
		err = client.get(command.Context(), adminapi.InstancesPath, &instances)
	}
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	ids := make([]string, 0, len(instances.Instances))
	for _, instance := range instances.Instances {
		ids = append(ids, instance.ID)
	}
	return ids, cobra.ShellCompDirectiveNoFileComp
}
