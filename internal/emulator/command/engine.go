package command

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hyssophoist/hyssophoist/internal/emulator/engine"
)

// engineFlags holds the flags of "emulate engine": options of the engine, and values that are parsed into options or
// faults.
type engineFlags struct {
	serverFlags
	options     engine.Options
	layers      string
	accelerator string
	links       []string
	speed       float64
}

func newEngine() *cobra.Command {
	var f engineFlags
	command := &cobra.Command{
		Use:   "engine",
		Short: "Run an emulated inference engine",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options, err := f.engineOptions()
			if err != nil {
				return err
			}
			e := engine.New(options)
			e.SetFaults(engine.Faults{Speed: f.speed})
			return f.run(command.Context(), command.OutOrStdout(), "engine "+options.Target, e, func() {
				faults := e.Faults()
				faults.Leaving = true
				e.SetFaults(faults)
			})
		},
	}
	f.addFlags(command)
	f.addEngineFlags(command)
	return command
}

func (f *engineFlags) addEngineFlags(command *cobra.Command) {
	flags, o := command.Flags(), &f.options
	names := make([]string, len(engine.Accelerators))
	for i, accelerator := range engine.Accelerators {
		names[i] = accelerator.Name
	}
	flags.StringVar(&o.Target, "target", "engine-1", "name of this engine in routes")
	flags.StringVar(&o.Model, "model", "model", "name of the model")
	flags.StringVar(&o.Version, "version", "", "version of the model; empty matches any")
	flags.StringVar(&o.Adapter, "adapter", "", "name of the adapter")
	flags.StringVar(&o.Role, "role", "", "role in load reports")
	flags.StringVar(&f.layers, "layers", "0-12", "layers `from-to` that the engine holds, to excluded")
	flags.IntVar(&o.ModelLayers, "model-layers", 0, "number of layers of the whole model; 0 for unknown")
	flags.StringVar(&f.accelerator, "accelerator", engine.DefaultAccelerator, "accelerator type: "+strings.Join(names, ", "))
	flags.Float64Var(&f.speed, "speed", 1, "divide the time of steps and loads by this factor")
	flags.IntVar(&o.MaxStreams, "max-streams", 0, "maximum number of concurrent streams that begin at this engine; 0 for 256")
	flags.Float64Var(&o.DefaultLink.BytesPerSecond, "link-bandwidth", 0, "bandwidth to other engines, in bytes per second; 0 for no limit")
	flags.Int64Var(&o.DefaultLink.LatencyMicros, "link-latency-us", 0, "latency to other engines, in microseconds")
	flags.StringArrayVar(&f.links, "link", nil, "link to one target as `target=bytes-per-second,latency-us`; may be repeated")
	addLoadFlags(flags, &o.LoadLag, &o.LoadInterval)
	flags.DurationVar(&o.CacheEventDelay, "cache-event-delay", 200*time.Millisecond, "time until a cache event is visible")
	flags.Float64Var(&o.CacheEventLoss, "cache-event-loss", 0.02, "share of cache events that are lost, from 0 to 1")
	flags.BoolVar(&o.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	flags.StringVar(&o.PlatformURL, "platform", "", "base address of the platform with the weight store; empty for none")
	flags.IntVar(&o.StopInterval, "stop-interval", 0, "end a response after a token whose ID is a multiple of this; 0 for never")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the choice of lost cache events")
}

func (f *engineFlags) engineOptions() (engine.Options, error) {
	options := f.options
	var err error
	if options.From, options.To, err = parseLayers(f.layers); err != nil {
		return options, err
	}
	if f.speed <= 0 {
		return options, fmt.Errorf("speed %g is not above 0", f.speed)
	}
	var ok bool
	if options.Accelerator, ok = engine.AcceleratorNamed(f.accelerator); !ok {
		return options, fmt.Errorf("accelerator type %q does not exist", f.accelerator)
	}
	options.Links = map[string]engine.Link{}
	for _, text := range f.links {
		target, link, err := parseLink(text)
		if err != nil {
			return options, err
		}
		options.Links[target] = link
	}
	options.Clock, err = f.clock()
	return options, err
}

// parseLink parses "target=bytes-per-second,latency-us".
func parseLink(text string) (string, engine.Link, error) {
	var link engine.Link
	target, values, ok := strings.Cut(text, "=")
	bandwidth, latency, hasLatency := strings.Cut(values, ",")
	var err, latencyErr error
	link.BytesPerSecond, err = strconv.ParseFloat(bandwidth, 64)
	link.LatencyMicros, latencyErr = strconv.ParseInt(latency, 10, 64)
	if !ok || !hasLatency || target == "" || err != nil || latencyErr != nil ||
		link.BytesPerSecond < 0 || link.LatencyMicros < 0 {
		return "", link, fmt.Errorf("link %q is not of the form target=bytes-per-second,latency-us", text)
	}
	return target, link, nil
}

// parseLayers parses "from-to".
func parseLayers(text string) (from, to int, err error) {
	first, last, ok := strings.Cut(text, "-")
	if ok {
		from, err = strconv.Atoi(first)
	}
	if ok && err == nil {
		to, err = strconv.Atoi(last)
	}
	if !ok || err != nil || from < 0 || from >= to {
		return 0, 0, fmt.Errorf("layers %q are not of the form from-to with from below to", text)
	}
	return from, to, nil
}
