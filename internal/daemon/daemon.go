// Package daemon is one process on an entry instance: it wires the parts together, runs the router and shuts down
// gracefully.
package daemon

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	"github.com/hyssophoist/hyssophoist/internal/certs"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/service"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	// DefaultDrainDelay is the time in which a stopping daemon still accepts requests after it has become not ready,
	// while the load balancer reacts.
	DefaultDrainDelay = 2 * time.Second

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// serverHeaderBytes is the server's own bound. It responds with a bare 431; callerapi.MaxHeaderBytes is lower and
	// gives an error kind.
	serverHeaderBytes = 1 << 20
	// serverWriteTimeout makes the server reset the write deadline for each request; the caller API then sets its own.
	serverWriteTimeout = time.Minute
	startTimeout       = 30 * time.Second
	stopTimeout        = 30 * time.Second
)

// ConfigurationSource supplies the configuration in force.
type ConfigurationSource interface {
	// Watch makes the source call f with the configuration in force, if there is one, and with each later one. Calls
	// do not overlap. f must not change the configuration.
	Watch(f func(*entity.Configuration))
}

// Options are the fixed properties of a daemon.
type Options struct {
	Daemon entity.DaemonID
	Zone   entity.ZoneID
	// Incarnation rises with each run of the same daemon; the start time in nanoseconds if 0.
	Incarnation uint64
	Caller      settings.Listener
	Admin       settings.Listener
	// DrainDelay is the time between not ready and the refusal of new requests. 0 stands for DefaultDrainDelay; a
	// negative value stands for none.
	DrainDelay time.Duration
}

// NewIncarnation returns an incarnation for a daemon that starts now.
func NewIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// AdminHandler serves the administration API below /admin/.
type AdminHandler interface{ http.Handler }

// Dependencies are what Module needs besides its options. Other packages provide them.
type Dependencies struct {
	fx.In

	Options Options
	Source  ConfigurationSource
	// Postings runs calls that are not idempotent. Without it they are refused with platform_unavailable, not run.
	Postings PostingRunner `optional:"true"`
	// Instances is the platform's list of instances. Without it no list is polled.
	Instances platform.Instances `optional:"true"`
	Admin     AdminHandler       `optional:"true"`
	// Polls restricts what this daemon polls. Without it the daemon polls everything.
	Polls PollSet `optional:"true"`
	// Observers are told of each load report that this daemon polls.
	Observers []LoadObserver `group:"load_observers"`
}

// Daemon is a running daemon.
type Daemon struct {
	Loop    *Loop
	Metrics *metrics.Metrics

	options  Options
	draining atomic.Bool
	stopping atomic.Bool
	caller   *server
	admin    *server
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Module wires a daemon. The graph must also hold Options, a ConfigurationSource and the optional dependencies.
var Module = fx.Module("daemon",
	fx.Provide(newMetrics, newEngineClient, newServiceClient, newDaemonLoop, newDaemon),
	fx.Invoke(func(*Daemon) {}),
)

func newMetrics() *metrics.Metrics { return metrics.New() }

func newEngineClient(m *metrics.Metrics) *engine.Client {
	return engine.NewClient(engine.ClientOptions{
		OnRejected: func(reason string) { m.RejectedEvents.WithLabelValues(reason).Inc() },
	})
}

func newServiceClient() *service.Client { return service.NewClient() }

func newDaemonLoop(d Dependencies, m *metrics.Metrics, engines *engine.Client, services *service.Client) *Loop {
	options := d.Options
	if options.Incarnation == 0 {
		options.Incarnation = NewIncarnation()
	}
	seed := fnv.New64a()
	fmt.Fprintf(seed, "%s/%x", options.Daemon, options.Incarnation)
	return NewLoop(LoopOptions{
		Daemon: options.Daemon, Zone: options.Zone, Incarnation: options.Incarnation, Seed: seed.Sum64(),
		Engines: engines, Services: services, Postings: d.Postings, Metrics: m,
	})
}

func newDaemon(lifecycle fx.Lifecycle, deps Dependencies, loop *Loop, m *metrics.Metrics, engines *engine.Client,
	services *service.Client) (*Daemon, error) {
	d := &Daemon{Loop: loop, Metrics: m, options: deps.Options}
	if d.options.DrainDelay == 0 {
		d.options.DrainDelay = DefaultDrainDelay
	}
	var err error
	d.caller, err = newServer("caller", deps.Options.Caller, callerapi.New(callerapi.Options{
		Configuration: loop.Configuration, Dispatcher: loop, Stopping: d.stopping.Load,
	}))
	if err != nil {
		return nil, err
	}
	if d.admin, err = newServer("admin", deps.Options.Admin, d.adminHandler(deps.Admin)); err != nil {
		return nil, err
	}
	poller := newPoller(loop, engines, deps, m)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			ctx, cancel := context.WithCancel(context.Background())
			d.cancel = cancel
			d.running.Go(func() { loop.Run(ctx) })
			d.running.Go(func() { poller.run(ctx) })
			deps.Source.Watch(func(c *entity.Configuration) { loop.Post(message.ConfigurationChanged{Configuration: c}) })
			return d.listen()
		},
		OnStop: func(ctx context.Context) error {
			var stop errgroup.Group
			stop.Go(func() error { return d.caller.http.Shutdown(ctx) })
			stop.Go(func() error { return d.admin.http.Shutdown(ctx) })
			err := stop.Wait()
			d.cancel()
			d.running.Wait()
			engines.Close()
			services.Close()
			return err
		},
	})
	return d, nil
}

func (d *Daemon) listen() error {
	if err := d.caller.start(&d.running); err != nil {
		return err
	}
	return d.admin.start(&d.running)
}

// CallerAddress returns the address of the caller API.
func (d *Daemon) CallerAddress() string { return d.caller.address() }

// AdminAddress returns the address of the administration API.
func (d *Daemon) AdminAddress() string { return d.admin.address() }

// Ready returns an error that says why the daemon is not ready, or nil.
func (d *Daemon) Ready() error {
	switch {
	case d.draining.Load():
		return fmt.Errorf("stopping")
	case d.Loop.Configuration() == nil:
		return fmt.Errorf("no configuration is in force")
	}
	return nil
}

// Drain makes the daemon not ready, refuses new requests after the drain delay, and returns when all requests in
// progress have ended and their responses have been written, however long that takes.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	log.Infof("stopping: not ready; new requests are refused in %s", max(0, d.options.DrainDelay))
	if d.options.DrainDelay > 0 {
		select {
		case <-time.After(d.options.DrainDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	d.stopping.Store(true)
	d.Loop.Post(message.StopRequested{})
	select {
	case <-d.Loop.Stopped():
	case <-ctx.Done():
		return ctx.Err()
	}
	log.Infof("stopping: no request is in progress")
	return d.caller.http.Shutdown(ctx)
}

func (d *Daemon) adminHandler(admin AdminHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.Metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.Ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	if admin != nil {
		mux.Handle("/admin/", admin)
	}
	return mux
}

// server is one listener with its HTTP server.
type server struct {
	name     string
	options  settings.Listener
	http     *http.Server
	listener net.Listener
}

func newServer(name string, options settings.Listener, handler http.Handler) (*server, error) {
	s := &server{name: name, options: options, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      serverWriteTimeout,
		MaxHeaderBytes:    serverHeaderBytes,
		Protocols:         new(http.Protocols),
	}}
	s.http.Protocols.SetHTTP1(true)
	if options.TLS != nil {
		reloader, err := certs.NewReloader(*options.TLS)
		if err != nil {
			return nil, fmt.Errorf("%s listener: %w", name, err)
		}
		s.http.TLSConfig = reloader.ServerConfig()
	}
	return s, nil
}

func (s *server) start(running *sync.WaitGroup) error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("%s listener: %w", s.name, err)
	}
	s.listener = listener
	running.Go(func() {
		serve := s.http.Serve
		if s.http.TLSConfig != nil {
			serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") }
		}
		if err := serve(listener); err != http.ErrServerClosed {
			log.Errorf("%s listener failed: %v", s.name, err)
		}
	})
	return nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// readyPollInterval is the time between two checks for readiness at the start.
const readyPollInterval = 10 * time.Millisecond

// awaitReady waits until the daemon is ready and reports whether it was before ctx ended.
func (d *Daemon) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for d.Ready() != nil {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// Run runs a daemon until ctx ends, then drains it without a time limit and stops it. started is called when the
// daemon is ready, which needs a configuration. The options must provide Options, a ConfigurationSource and the optional dependencies.
func Run(ctx context.Context, started func(*Daemon), options ...fx.Option) error {
	var d *Daemon
	app := fx.New(Module, fx.Options(options...), fx.Populate(&d), fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout), fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Err(); err != nil {
		return dig.RootCause(err) // without the functions of the graph that were being called
	}
	startContext, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		return err
	}
	if d.awaitReady(ctx) {
		started(d)
	}
	<-ctx.Done()
	drainErr := d.Drain(context.Background())
	stopContext, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if err := app.Stop(stopContext); err != nil {
		return err
	}
	return drainErr
}
