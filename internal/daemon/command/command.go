// Package command holds the commands of hyssophoistd.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/controlplane"
	"github.com/hyssophoist/hyssophoist/internal/daemon"
	emulate "github.com/hyssophoist/hyssophoist/internal/emulator/command"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

// New returns the command hyssophoistd. The context of its execution ends a running daemon gracefully.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:           "hyssophoistd",
		Short:         "Route requests to pipelines of inference engines and to plain services",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	root.AddCommand(newServe(), newCheck(), newDev(), newEdge(), emulate.New())
	return root
}

func newServe() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run a daemon",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if err := setVerbosity(s.Verbosity); err != nil {
				return err
			}
			return serve(command.Context(), s, command.OutOrStdout())
		},
	}
	addSettingsFlag(command, &file)
	return command
}

func newCheck() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file and the preset file that it names",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if s.PresetFile != "" {
				if _, err := settings.LoadPreset(s.PresetFile); err != nil {
					return err
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: no mistakes found\n", file)
			return nil
		},
	}
	addSettingsFlag(command, &file)
	return command
}

func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", "", "settings `file`")
	_ = command.MarkFlagRequired("settings") // fails only for a flag that does not exist
}

var log = logging.For("daemon")

// setVerbosity sets the verbosity of the logs.
func setVerbosity(verbosity int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(verbosity)); err != nil {
		return fmt.Errorf("set log verbosity: %w", err)
	}
	return nil
}

// serve runs a daemon with the given settings until ctx ends and it has drained.
func serve(ctx context.Context, s *settings.Settings, out io.Writer) error {
	var preset *entity.Preset
	if s.PresetFile != "" {
		var err error
		if preset, err = settings.LoadPreset(s.PresetFile); err != nil {
			return err
		}
	}
	ready := func(d *daemon.Daemon) {
		fmt.Fprintf(out, "ready: daemon %s serves callers on %s and administration on %s\n", s.Daemon,
			d.CallerAddress(), d.AdminAddress())
	}
	return daemon.Run(ctx, ready, modules(s, preset, daemon.DefaultDrainDelay)...)
}

// modules returns what a daemon with the given settings consists of besides daemon.Module. The preset is put in force
// if the platform holds no configuration yet; it may be nil.
func modules(s *settings.Settings, preset *entity.Preset, drainDelay time.Duration) []fx.Option {
	client := platform.NewClient(platform.ClientOptions{URL: s.Platform.URL, Timeout: time.Duration(s.Platform.Timeout)})
	return []fx.Option{
		controlplane.Module,
		postingsModule,
		ordersModule,
		fx.Provide(func(p *postings) controlplane.Options {
			return controlplane.Options{Settings: s, Preset: preset, ClaimStatus: p.runner.PeerClaimStatus}
		}),
		fx.Supply(daemon.Options{
			Daemon: entity.DaemonID(s.Daemon), Zone: entity.ZoneID(s.Zone), Caller: s.Caller, Admin: s.Admin,
			Incarnation: daemon.NewIncarnation(), DrainDelay: drainDelay,
		}),
		fx.Supply(fx.Annotate(client, fx.As(new(platform.TableStore)), fx.As(new(platform.InstanceLister)),
			fx.As(new(platform.ObjectStore)))),
	}
}
