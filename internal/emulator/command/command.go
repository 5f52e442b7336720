// Package command provides the command "emulate", which runs one emulator in its own process.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
	"github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/emulator/service"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// New returns the command "emulate" with the subcommands "engine", "service" and "platform". Each prints one line with
// its address when it is ready and runs until its context is done or the process receives SIGINT or SIGTERM.
func New() *cobra.Command {
	command := &cobra.Command{
		Use:   "emulate",
		Short: "Run an emulator of an external system",
	}
	command.AddCommand(newEngine(), newService(), newPlatform())
	return command
}

// serverFlags holds the flags common to all emulators.
type serverFlags struct {
	address    string
	grace      time.Duration
	timeFactor float64
}

func (s *serverFlags) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&s.address, "address", "127.0.0.1:0", "listen on this `host:port`; port 0 picks a free one")
	flags.DurationVar(&s.grace, "grace", 10*time.Second, "time that calls in progress have to finish after SIGTERM")
	flags.Float64Var(&s.timeFactor, "time-factor", 1, "run emulated time faster by this factor")
}

func (s *serverFlags) clock() (clock.Clock, error) {
	switch {
	case s.timeFactor <= 0:
		return nil, fmt.Errorf("time factor %g is not above 0", s.timeFactor)
	case s.timeFactor == 1:
		return clock.System{}, nil
	}
	return clock.NewScaled(s.timeFactor), nil
}

// emulator is an emulated system that can be served.
type emulator interface {
	http.Handler
	Close()
}

// run serves e until ctx is done or a signal arrives; name is printed and used in errors. onShutdown is called before
// the server stops accepting requests.
func (s *serverFlags) run(ctx context.Context, out io.Writer, name string, e emulator, onShutdown func()) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer e.Close()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	httpServer := &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	serveErr := make(chan error, 1)
	go func() { serveErr <- httpServer.Serve(listener) }()
	fmt.Fprintf(out, "%s ready at http://%s\n", name, listener.Addr())
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve %s: %w", name, err)
	case <-ctx.Done():
	}
	onShutdown()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.grace)
	defer cancel()
	if err := httpServer.Shutdown(shutdownCtx); errors.Is(err, context.DeadlineExceeded) {
		return httpServer.Close()
	} else if err != nil {
		return fmt.Errorf("stop %s: %w", name, err)
	}
	return nil
}

func newService() *cobra.Command {
	var s serverFlags
	var options service.Options
	command := &cobra.Command{
		Use:   "service",
		Short: "Run an emulated plain service",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if options.Clock, err = s.clock(); err != nil {
				return err
			}
			e := service.New(options)
			return s.run(command.Context(), command.OutOrStdout(), "service "+options.Target, e, func() {
				faults := e.Faults()
				faults.Leaving = true
				e.SetFaults(faults)
			})
		},
	}
	s.addFlags(command)
	flags := command.Flags()
	flags.StringVar(&options.Target, "target", "service-1", "name of this service instance")
	flags.DurationVar(&options.Latency, "latency", 2*time.Millisecond, "time that one call takes")
	flags.BoolVar(&options.ChecksFencing, "checks-fencing", false, "refuse old fencing numbers and run a key at most once")
	flags.IntVar(&options.MaxRunning, "max-running", 0, "number of calls that run at once; 0 for 64")
	flags.IntVar(&options.MaxQueued, "max-queued", 0, "number of calls that wait; 0 for 256")
	addLoadFlags(flags, &options.LoadLag, &options.LoadInterval)
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices of faults")
	return command
}

func addLoadFlags(flags *pflag.FlagSet, lag, interval *time.Duration) {
	flags.DurationVar(lag, "load-lag", 200*time.Millisecond, "time until a load report is visible")
	flags.DurationVar(interval, "load-interval", 100*time.Millisecond, "time between two load reports")
}

func newPlatform() *cobra.Command {
	var s serverFlags
	var options platform.Options
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the emulated platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var err error
			if options.Clock, err = s.clock(); err != nil {
				return err
			}
			return s.run(command.Context(), command.OutOrStdout(), "platform", platform.New(options), func() {})
		},
	}
	s.addFlags(command)
	flags := command.Flags()
	flags.DurationVar(&options.InstanceLag, "instance-lag", 2*time.Second, "time until a change of the instance list is visible")
	flags.Float64Var(&options.ReadsPerSecond, "reads", 2000, "limit of reads per second; 0 for none")
	flags.Float64Var(&options.WritesPerSecond, "writes", 400, "limit of writes per second; 0 for none")
	flags.Float64Var(&options.WeightsPerSecond, "weights", 4, "limit of weight downloads per second; 0 for none")
	flags.IntVar(&options.WeightBytes, "weight-bytes", 0, "size of each object of the weight store, in bytes; 0 for 64 KiB")
	flags.Float64Var(&options.WeightBytesPerSecond, "weight-rate", 0, "speed of one weight download, in bytes per second; 0 for no limit")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random choices of faults")
	return command
}
