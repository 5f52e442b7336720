package cli

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any other error
	ExitUsage       = 2 // wrong arguments or files; nothing was sent
	ExitUnreachable = 3 // the daemon, the administration API or the platform is not available
	ExitRefused     = 4 // the request was refused: wrong token, bad request, not found
	ExitConflict    = 5 // another change took effect first; nothing was changed
	ExitUnknown     = 6 // the change may or may not have taken effect
)

const exitCodeHelp = `Exit codes: 0 success, 1 other failure, 2 wrong arguments or files, 3 daemon, administration API or platform not
available (nothing was changed), 4 refused (token, bad request, not found; nothing was changed), 5 conflict with another change
(nothing was changed), 6 the change may or may not have taken effect.`

const (
	addressVariable = "HYSSOPHOIST_ADMIN"
	tokenVariable   = "HYSSOPHOIST_TOKEN"

	defaultAddress = "http://127.0.0.1:8081"
	// defaultTimeout is longer than the time that the API itself allows for a request.
	defaultTimeout = 40 * time.Second
)

// usageError is an error in the arguments, or in a file that they name.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// Options configures the command.
type Options struct {
	// Out and Err receive output and errors; the standard streams if nil.
	Out io.Writer
	Err io.Writer
	// CheckPreset reads a preset file as JSON with comments and checks it; without it, the file is only decoded and the
	// API checks it.
	CheckPreset func(file string) (*entity.Preset, error)
	// Commands are additional subcommands, such as load and experiment.
	Commands []*cobra.Command
}

// runner holds the options and the flags that all commands share.
type runner struct {
	options   Options
	address   string
	token     string
	tokenFile string
	operator  string
	caFile    string
	output    string
	timeout   time.Duration
}

// New returns the root command of hyssophoistctl.
func New(options Options) *cobra.Command {
	if options.Out == nil {
		options.Out = os.Stdout
	}
	if options.Err == nil {
		options.Err = os.Stderr
	}
	if options.CheckPreset == nil {
		options.CheckPreset = readPreset
	}
	r := &runner{options: options}
	root := &cobra.Command{
		Use:           "hyssophoistctl",
		Short:         "Operate a hyssophoist system",
		Long:          "Operate a hyssophoist system through the administration API of one of its daemons.\n\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if r.output != "text" && r.output != "json" {
				return usageErrorf("output %q is neither text nor json", r.output)
			}
			return nil
		},
	}
	root.SetOut(options.Out)
	root.SetErr(options.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageErrorf("%v", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&r.address, "admin", fromEnvironment(addressVariable, defaultAddress),
		"address of the administration API ($"+addressVariable+")")
	flags.StringVar(&r.token, "token", "", "administration token ($"+tokenVariable+")")
	flags.StringVar(&r.tokenFile, "token-file", "", "file with the administration token")
	flags.StringVar(&r.operator, "operator", operatorName(), "name for the audit trail")
	flags.StringVar(&r.caFile, "ca-file", "", "file with the CA certificates to trust")
	flags.StringVarP(&r.output, "output", "o", "text", "output format: text or json")
	flags.DurationVar(&r.timeout, "timeout", defaultTimeout, "time limit of one request")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(r.presetsCommand(), r.targetsCommand(), r.instancesCommand(), r.auditCommand(), r.statusCommand(),
		r.routeCommand())
	root.AddCommand(options.Commands...)
	return root
}

func fromEnvironment(name, defaultValue string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return defaultValue
}

func operatorName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

// ExitCode returns the exit code for the error of the command.
func ExitCode(err error) int {
	var usageErr *usageError
	var apiErr *APIError
	var unreachable *UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.As(err, &unreachable) && unreachable.OutcomeUnknown:
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &apiErr):
		return exitCodeOf(errkind.Kind(apiErr.Body.Kind))
	}
	return ExitFailed
}

func exitCodeOf(kind errkind.Kind) int {
	switch kind {
	case errkind.PlatformUnavailable, errkind.Stopping, errkind.NoConfiguration, errkind.Overloaded, errkind.RateLimited:
		return ExitUnreachable
	case errkind.BadRequest, errkind.TooLarge, errkind.Unauthorized, errkind.NotFound:
		return ExitRefused
	case errkind.Conflict:
		return ExitConflict
	case errkind.OutcomeUnknown, errkind.DeadlineExceeded:
		return ExitUnknown
	}
	return ExitFailed
}

// Run runs the command and returns its exit code. An error is written as one line that begins with "error: ", with
// details of a conflict, or how to repeat a change whose outcome is unknown, below it.
func Run(options Options, arguments []string) int {
	if options.Err == nil {
		options.Err = os.Stderr
	}
	root := New(options)
	root.SetArgs(arguments)
	err := root.Execute()
	if err != nil {
		fmt.Fprintf(options.Err, "error: %v\n", err)
	}
	return ExitCode(err)
}

// client returns a client configured by the flags.
func (r *runner) client() (*Client, error) {
	token := r.token
	if token == "" && r.tokenFile != "" {
		content, err := os.ReadFile(r.tokenFile)
		if err != nil {
			return nil, usageErrorf("read token: %v", err)
		}
		token = string(bytes.TrimSpace(content))
	}
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token == "" {
		return nil, usageErrorf("no administration token: set --token, --token-file or $%s", tokenVariable)
	}
	return NewClient(r.address, token, r.operator, r.caFile, r.timeout)
}
