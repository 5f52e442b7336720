package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
)

func (r *runner) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the configuration in force, and its version at each daemon",
		Args:  exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			status, err := client.status(command.Context())
			if err != nil {
				return err
			}
			return r.print(status, func() { r.printStatus(status) })
		},
	}
}

func (r *runner) printStatus(status adminapi.Status) {
	if status.Version == 0 {
		r.printf("no configuration is in force at %s (%s)\n", status.Daemon, status.Zone)
	} else {
		r.printf("version %d in force at %s (%s): preset %s/%d, %d marks, changed by %s at %s\n",
			status.Version, status.Daemon, status.Zone, status.Preset.Name, status.Preset.Revision, status.Marks,
			status.ChangedBy, timeText(status.ChangedAt))
	}
	if status.PlatformFailures > 0 {
		r.printf("the platform is not available: %d failed reads\n", status.PlatformFailures)
	}
	rows := r.newTable("DAEMON", "ZONE", "ADDRESS", "STATE", "VERSION", "HEARD")
	for _, d := range status.Daemons {
		lastHeard := "never"
		if d.AgeSeconds >= 0 {
			lastHeard = fmt.Sprintf("%.0f s ago", d.AgeSeconds)
		}
		rows.add(d.ID, d.Zone, d.Address, stateText(d), fmt.Sprint(d.Version), lastHeard)
	}
	rows.flush()
}

func (r *runner) auditCommand() *cobra.Command {
	var before uint64
	var limit int
	command := &cobra.Command{
		Use:   "audit",
		Short: "Show accepted changes, newest first",
		Args:  exactArgs(0, ""),
		RunE: func(command *cobra.Command, _ []string) error {
			client, err := r.client()
			if err != nil {
				return err
			}
			var audit adminapi.Audit
			path := fmt.Sprintf("%s?before=%d&limit=%d", adminapi.AuditPath, before, limit)
			if err := client.get(command.Context(), path, &audit); err != nil {
				return err
			}
			return r.print(audit, func() {
				rows := r.newTable("VERSION", "AT", "BY", "BEFORE", "AFTER", "CHANGE")
				for _, e := range audit.Entries {
					rows.add(fmt.Sprint(e.Version), timeText(e.At), e.By, presetText(e.Before), presetText(e.After), e.Summary)
				}
				rows.flush()
			})
		},
	}
	command.Flags().Uint64Var(&before, "before", 0, "show changes before this version; 0 starts with the latest")
	command.Flags().IntVar(&limit, "limit", 50, "number of changes, at most 200")
	return command
}

// print writes the result as JSON or calls writeText, depending on the output format.
func (r *runner) print(result any, writeText func()) error {
	if r.output == "json" {
		return r.printJSON(result)
	}
	writeText()
	return nil
}

func (r *runner) printJSON(result any) error {
	encoder := json.NewEncoder(r.options.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// textTable writes aligned columns.
type textTable struct{ writer *tabwriter.Writer }

func (r *runner) newTable(headings ...string) textTable {
	table := textTable{tabwriter.NewWriter(r.options.Out, 0, 8, 2, ' ', 0)}
	table.add(headings...)
	return table
}

func (t textTable) add(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

func (t textTable) flush() { _ = t.writer.Flush() }

func timeText(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}

func presetText(ref adminapi.PresetRef) string {
	if ref.Name == "" {
		return "-"
	}
	return fmt.Sprintf("%s/%d", ref.Name, ref.Revision)
}

func markText(mark *entity.Mark) string {
	if mark == nil {
		return "-"
	}
	return fmt.Sprintf("%s by %s", mark.State, mark.By)
}

func stateText(daemon adminapi.DaemonStatus) string {
	switch {
	case !daemon.Live:
		return "down"
	case daemon.Ready:
		return "ready"
	}
	return "not ready"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
