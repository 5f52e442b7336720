package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
)

// maxLineBytes is the maximum length of a log line; the line about a request names the targets of all its attempts.
const maxLineBytes = 1 << 20

// NewCommand returns the subcommand explain.
func NewCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG...]",
		Short: "Print what the logs of edge daemons say about a request",
		Long: "Reads the logs of edge daemons from files, or from the standard input, and prints the entries about a request,\n" +
			"with what the instances that handled it logged at the time about its targets and about the system. An instance\n" +
			"is identified by the name before a log line, or else by the name of the file without its extension.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			entries, err := readLogs(command.InOrStdin(), arguments[1:])
			if err != nil {
				return err
			}
			related := RelatedEntries(entries, arguments[0])
			if len(related) == 0 {
				return fmt.Errorf("none of %d log entries names request %q", len(entries), arguments[0])
			}
			if output, err := command.Flags().GetString("output"); err == nil && output == "json" {
				return json.NewEncoder(command.OutOrStdout()).Encode(related)
			}
			return printEntries(command.OutOrStdout(), related, arguments[0])
		},
	}
}

func readLogs(in io.Reader, files []string) ([]Entry, error) {
	if len(files) == 0 {
		return parseLog(in, "")
	}
	var entries []Entry
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		instance := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
		found, err := parseLog(file, instance)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		entries = append(entries, found...)
	}
	return entries, nil
}

func parseLog(in io.Reader, instance string) (entries []Entry, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if entry, ok := Parse(instance, lines.Text()); ok {
			entries = append(entries, entry)
		}
	}
	return entries, lines.Err()
}

// printEntries prints entries, one a line. An entry about the request itself starts with "*".
func printEntries(out io.Writer, entries []Entry, id string) error {
	for i := range entries {
		e := &entries[i]
		marker := " "
		if e.Get("request") == id {
			marker = "*"
		}
		var fields strings.Builder
		for _, field := range e.Fields {
			if field.Value != "" {
				fmt.Fprintf(&fields, " %s=%s", field.Key, field.Value)
			}
		}
		if _, err := fmt.Fprintf(out, "%s %s %s %s: %s%s\n", marker, e.Time.Format("15:04:05.000"), e.Instance, e.Part,
			e.Sentence, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
