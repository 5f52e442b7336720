package loadgen

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// NewLoadCommand returns the command "load", which runs one workload and prints its report. expected returns the
// correct response of an emulated engine to a prompt.
func NewLoadCommand(expected func(prompt string, maxTokens int) string) *cobra.Command {
	options := DefaultOptions()
	output, verify := "text", false
	command := &cobra.Command{
		Use:   "load",
		Short: "Send a seeded workload to the caller API and report what callers saw",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if verify {
				options.Expected = expected
			}
			report, err := Run(cmd.Context(), options)
			if err != nil {
				return err
			}
			if output == "json" {
				return report.WriteJSON(cmd.OutOrStdout())
			}
			return report.WriteText(cmd.OutOrStdout())
		},
	}
	flags := command.Flags()
	addWorkloadFlags(flags, &options, &verify)
	flags.Float64Var(&options.Rate, "rate", options.Rate, "open-loop arrivals in requests per second; 0 for a closed loop")
	flags.IntVar(&options.Concurrency, "concurrency", options.Concurrency, "number of concurrent callers of a closed loop")
	flags.DurationVar(&options.Duration, "duration", options.Duration, "time during which requests start")
	flags.StringVarP(&output, "output", "o", output, "output format: text or json")
	return command
}

// NewExperimentCommand returns the command "experiment", which runs the phases of a file and reports on each of them.
// expected is as in NewLoadCommand.
func NewExperimentCommand(expected func(prompt string, maxTokens int) string) *cobra.Command {
	options := DefaultOptions()
	output, verify := "text", false
	command := &cobra.Command{
		Use:   "experiment FILE",
		Short: "Run the load phases and faults of an experiment file and report each phase",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			experiment, err := LoadExperiment(args[0])
			if err != nil {
				return err
			}
			if verify {
				options.Expected = expected
			}
			reports, err := RunExperiment(cmd.Context(), experiment, options)
			write := WriteExperimentText
			if output == "json" {
				write = WriteExperimentJSON
			}
			if writeErr := write(cmd.OutOrStdout(), reports); writeErr != nil {
				return writeErr
			}
			return err
		},
	}
	addWorkloadFlags(command.Flags(), &options, &verify)
	command.Flags().StringVarP(&output, "output", "o", output, "output format: text or json")
	return command
}

func addWorkloadFlags(flags *pflag.FlagSet, options *Options, verify *bool) {
	flags.StringSliceVar(&options.URLs, "url", options.URLs, "base addresses of the caller APIs")
	flags.StringSliceVar(&options.Keys, "key", options.Keys, "bearer keys of client accounts")
	flags.Float64SliceVar(&options.Weights, "key-weights", options.Weights, "relative weights of the keys")
	flags.StringVar(&options.Model, "model", "demo", "model of completions")
	flags.StringVar(&options.Service, "service", options.Service, "plain service to call")
	flags.Float64Var(&options.ServiceShare, "service-share", options.ServiceShare, "share of service calls, 0 to 1")
	flags.Float64Var(&options.PostingShare, "posting-share", options.PostingShare, "share of postings among service calls, 0 to 1")
	flags.IntVar(&options.ShortWords, "short-words", options.ShortWords, "words of a short prompt")
	flags.IntVar(&options.LongWords, "long-words", options.LongWords, "words of a long prompt")
	flags.Float64Var(&options.LongShare, "long-share", options.LongShare, "share of long prompts, 0 to 1")
	flags.IntVar(&options.MaxTokens, "max-tokens", options.MaxTokens, "maximum number of tokens of a response")
	flags.DurationVar(&options.Timeout, "timeout", options.Timeout, "deadline of a request")
	flags.Uint64Var(&options.Seed, "seed", options.Seed, "seed of the workload")
	flags.BoolVar(verify, "verify-emulator", false, "compare each response with the text that the emulated engines must give")
}
