package cli

import (
	"fmt"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	expected uint64
	id       string
}

func (f *changeFlags) register(command *cobra.Command) {
	command.Flags().Uint64Var(&f.expected, "expect-version", 0,
		"configuration version that the change replaces; by default the one in force at the daemon")
	command.Flags().StringVar(&f.id, "change-id", "", "id of an earlier attempt with unknown outcome; the change takes effect once")
}

// sendChange calls send with the id of the change and the version that it replaces. If the operator gave the id, it
// looks for the change in the audit trail first, since later changes may already have replaced the version it created.
func (f *changeFlags) sendChange(
	command *cobra.Command, client *Client, send func(id string, expected uint64) (adminapi.Accepted, error),
) (adminapi.Accepted, error) {
	if f.id != "" {
		found, err := client.findChange(command.Context(), f.id)
		if err != nil {
			return adminapi.Accepted{}, err
		}
		if found != nil {
			return *found, nil
		}
	}
	expected := f.expected
	if !command.Flags().Changed("expect-version") {
		status, err := client.status(command.Context())
		if err != nil {
			return adminapi.Accepted{}, err
		}
		expected = status.Version
	}
	id := idOrNew(f.id)
	accepted, err := send(id, expected)
	return accepted, withChangeID(err, id)
}

func idOrNew(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// withChangeID adds instructions for repeating the change to an error that leaves the outcome of the change unknown.
func withChangeID(err error, id string) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	return fmt.Errorf("%w\nto repeat the change safely, add --change-id %s", err, id)
}
