package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// readPreset decodes a preset file without checking its contents.
func readPreset(file string) (*entity.Preset, error) {
	preset := new(entity.Preset)
	return preset, readFile(file, preset)
}

// readFile decodes a file of JSON with comments and rejects unknown fields.
func readFile(file string, value any) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return usageErrorf("read file: %v", err)
	}
	standard, err := hujson.Standardize(content)
	if err != nil {
		return usageErrorf("%s: %v", file, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return usageErrorf("%s: %v", file, err)
	}
	return nil
}

func (r *runner) presetsCommand() *cobra.Command {
	command := &cobra.Command{Use: "presets", Aliases: []string{"preset"}, Short: "Create, list, show and switch presets"}
	command.AddCommand(r.presetsCreate(), r.presetsList(), r.presetsShow(), r.presetsSwitch())
	return command
}

func (r *runner) presetsCreate() *cobra.Command {
	var id string
	command := &cobra.Command{
		Use:   "create FILE",
		Short: "Store a preset file (JSON with comments) as the next revision of its name",
		Args:  exactArgs(1, "the preset file"),
		RunE: func(command *cobra.Command, args []string) error {
			preset, err := r.options.CheckPreset(args[0])
			var usageErr *usageError
			if err != nil && !errors.As(err, &usageErr) {
				return usageErrorf("%v", err)
			}
			if err != nil {
				return err
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			id = idOrNew(id)
			ref, err := client.createPreset(command.Context(), preset, id)
			if err != nil {
				return withChangeID(err, id)
			}
			return r.print(ref, func() { r.printf("preset %s/%d stored\n", ref.Name, ref.Revision) })
		},
	}
	command.Flags().StringVar(&id, "change-id", "", "id of an earlier attempt whose outcome is unknown")
	return command
}

func (r *runner) presetsList() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List presets with their latest revision and the one in force",
		Args:  exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			var presets adminapi.Presets
			if err := client.get(command.Context(), adminapi.PresetsPath, &presets); err != nil {
				return err
			}
			return r.print(presets, func() {
				rows := r.newTable("NAME", "KIND", "LATEST", "IN FORCE", "CREATED BY", "CREATED AT")
				for _, p := range presets.Presets {
					inForce := "-"
					if p.InForce != 0 {
						inForce = strconv.Itoa(p.InForce)
					}
					rows.add(p.Name, string(p.Kind), strconv.Itoa(p.Revision), inForce, p.CreatedBy, timeText(p.CreatedAt))
				}
				rows.flush()
			})
		},
	}
}

func (r *runner) presetsShow() *cobra.Command {
	var revision int
	command := &cobra.Command{
		Use:               "show NAME",
		Short:             "Show a preset as JSON",
		Args:              exactArgs(1, "the name of a preset"),
		ValidArgsFunction: r.completePresets,
		RunE: func(command *cobra.Command, args []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			path := adminapi.PresetsPath + "/" + url.PathEscape(args[0])
			if revision != 0 {
				path += "?revision=" + strconv.Itoa(revision)
			}
			var preset entity.Preset
			if err := client.get(command.Context(), path, &preset); err != nil {
				return err
			}
			return r.printJSON(preset)
		},
	}
	command.Flags().IntVar(&revision, "revision", 0, "revision; 0 is the latest")
	return command
}

func (r *runner) presetsSwitch() *cobra.Command {
	var revision int
	var flags changeFlags
	command := &cobra.Command{
		Use:               "switch NAME",
		Short:             "Put a preset in force",
		Args:              exactArgs(1, "the name of a preset"),
		ValidArgsFunction: r.completePresets,
		RunE: func(command *cobra.Command, args []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			accepted, err := flags.sendChange(command, client, func(id string, expected uint64) (adminapi.Accepted, error) {
				return client.switchPreset(command.Context(), adminapi.Switch{
					ChangeID: id, ExpectedVersion: expected, Name: args[0], Revision: revision,
				})
			})
			if err != nil {
				return err
			}
			return r.print(accepted, func() { r.printf("version %d accepted: preset %s\n", accepted.Version, args[0]) })
		},
	}
	command.Flags().IntVar(&revision, "revision", 0, "revision; 0 is the latest")
	flags.register(command)
	return command
}

func (r *runner) completePresets(command *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	client, err := r.client()
	if err != nil || len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var presets adminapi.Presets
	if err := client.get(command.Context(), adminapi.PresetsPath, &presets); err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	names := make([]string, 0, len(presets.Presets))
	for _, preset := range presets.Presets {
		names = append(names, preset.Name)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// exactArgs rejects any number of arguments other than n, with an error that names the expected ones.
func exactArgs(n int, expected string) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) == n {
			return nil
		}
		if n == 0 {
			return usageErrorf("%s takes no arguments, got %d", command.CommandPath(), len(args))
		}
		return usageErrorf("%s needs %s, got %d arguments", command.CommandPath(), expected, len(args))
	}
}

// printf writes formatted text to the command's output.
func (r *runner) printf(format string, args ...any) { fmt.Fprintf(r.options.Out, format, args...) }
