// Command hyssophoistctl is the operators' command line.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/internal/cli"
	"github.com/hyssophoist/hyssophoist/internal/emulator/engine"
	"github.com/hyssophoist/hyssophoist/internal/explain"
	"github.com/hyssophoist/hyssophoist/internal/loadgen"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/internal/tokenizer"
)

func main() {
	os.Exit(cli.Run(cli.Options{
		CheckPreset: settings.LoadPreset,
		Commands: []*cobra.Command{
			explain.NewCommand(),
			loadgen.NewLoadCommand(expectedText),
			loadgen.NewExperimentCommand(expectedText),
		},
	}, os.Args[1:]))
}

// expectedText returns the text that emulated engines generate for a prompt.
func expectedText(prompt string, maxTokens int) string {
	return engine.ExpectedText(tokenizer.Encode(prompt), maxTokens)
}
