// Package daemon runs a daemon, the process on an entry instance that accepts requests: it wires the components
// together, runs the router and shuts down gracefully.
package daemon

import (
	"context"
	"errors"
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
	"github.com/hyssophoist/hyssophoist/internal/callerconn"
	"github.com/hyssophoist/hyssophoist/internal/certs"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/service"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// DefaultDrainDelay is how long a stopping daemon still accepts requests after its readiness check starts to fail,
	// so that the load balancer has time to react.
	DefaultDrainDelay = 2 * time.Second

	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// serverMaxHeaderBytes is the limit of the HTTP server, which responds with a plain 431 above it. The limit of the
	// caller API, callerapi.MaxHeaderBytes, is lower and gives an error kind.
	serverMaxHeaderBytes = 1 << 20
	// serverWriteTimeout makes the HTTP server reset the write deadline for each request; the caller API then sets its
	// own deadline.
	serverWriteTimeout = time.Minute
	startTimeout       = 30 * time.Second
	stopTimeout        = 30 * time.Second
)

// ConfigurationSource supplies the configuration in force.
type ConfigurationSource interface {
	// Watch makes the source call f with the configuration in force, if there is one, and with each later one. Calls
	// of f do not overlap. f must not modify the configuration.
	Watch(f func(*entity.Configuration))
}

// Options are the fixed properties of a daemon.
type Options struct {
	Daemon entity.DaemonID
	Zone   entity.ZoneID
	// Incarnation increases with each run of the same daemon; 0 stands for the start time in nanoseconds.
	Incarnation uint64
	Caller      settings.Listener
	Admin       settings.Listener
	// DrainDelay is the time from when a stopping daemon is no longer ready until it refuses new requests. 0 stands for
	// DefaultDrainDelay; a negative value stands for no delay.
	DrainDelay time.Duration
}

// NewIncarnation returns an incarnation for a daemon that starts now.
func NewIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// AdminHandler serves the administration API below /admin/.
type AdminHandler interface{ http.Handler }

// Dependencies holds what other packages provide to Module.
type Dependencies struct {
	fx.In

	Options Options
	Source  ConfigurationSource
	// Postings runs calls that are not idempotent. Without it they are refused as platform_unavailable and not run.
	Postings PostingRunner `optional:"true"`
	// Instances is the platform's list of instances. Without it the list is not polled.
	Instances platform.InstanceLister `optional:"true"`
	Admin     AdminHandler            `optional:"true"`
	// PollSet restricts what this daemon polls. Without it the daemon polls everything.
	PollSet PollSet `optional:"true"`
	// Observers receive each load report that this daemon polls.
	Observers []LoadObserver `group:"load_observers"`
}

// Daemon is a running daemon.
type Daemon struct {
	Loop    *Loop
	Metrics *metrics.Metrics

	options  Options
	draining atomic.Bool // Drain has been called; the daemon is not ready
	stopping atomic.Bool // the drain delay has passed; new requests are refused
	caller   *server
	admin    *server
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Module provides and runs a Daemon. The fx graph must also provide Options and a ConfigurationSource, and may provide
// the optional fields of Dependencies.
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

func newDaemonLoop(deps Dependencies, m *metrics.Metrics, engines *engine.Client, services *service.Client) *Loop {
	options := deps.Options
	if options.Incarnation == 0 {
		options.Incarnation = NewIncarnation()
	}
	seed := fnv.New64a()
	fmt.Fprintf(seed, "%s/%x", options.Daemon, options.Incarnation)
	return NewLoop(LoopOptions{
		Daemon: options.Daemon, Zone: options.Zone, Incarnation: options.Incarnation, Seed: seed.Sum64(),
		Engines: engines, Services: services, Postings: deps.Postings, Metrics: m,
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
			d.wg.Go(func() { loop.Run(ctx) })
			d.wg.Go(func() { poller.run(ctx) })
			deps.Source.Watch(func(c *entity.Configuration) { loop.Post(message.ConfigurationChanged{Configuration: c}) })
			return d.listen()
		},
		OnStop: func(ctx context.Context) error {
			var shutdowns errgroup.Group
			shutdowns.Go(func() error { return d.caller.http.Shutdown(ctx) })
			shutdowns.Go(func() error { return d.admin.http.Shutdown(ctx) })
			err := shutdowns.Wait()
			d.cancel()
			d.wg.Wait()
			engines.Close()
			services.Close()
			return err
		},
	})
	return d, nil
}

func (d *Daemon) listen() error {
	if err := d.caller.start(&d.wg); err != nil {
		return err
	}
	return d.admin.start(&d.wg)
}

// CallerAddress returns the address of the caller API.
func (d *Daemon) CallerAddress() string { return d.caller.address() }

// AdminAddress returns the address of the administration API.
func (d *Daemon) AdminAddress() string { return d.admin.address() }

// Ready returns nil if the daemon is ready, else an error with the reason.
func (d *Daemon) Ready() error {
	switch {
	case d.draining.Load():
		return fmt.Errorf("stopping")
	case d.Loop.Configuration() == nil:
		return fmt.Errorf("no configuration is in force")
	}
	return nil
}

// Drain makes the readiness check fail, refuses new requests after the drain delay, and returns when all requests in
// progress have ended and their responses have been written. Only ctx limits how long that may take.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	log.Infof("draining: daemon is no longer ready, new requests will be refused in %s", max(0, d.options.DrainDelay))
	if d.options.DrainDelay > 0 && !timing.Sleep(ctx, d.options.DrainDelay) {
		return ctx.Err()
	}
	d.stopping.Store(true)
	d.Loop.Post(message.StopRequested{})
	select {
	case <-d.Loop.Stopped():
	case <-ctx.Done():
		return ctx.Err()
	}
	log.Infof("draining: no request is in progress")
	// Requests that arrive now are refused, which http.Server.Shutdown would leave without an answer.
	return d.caller.listener.Finish(ctx)
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

// server is an HTTP server with its listener.
type server struct {
	name     string
	options  settings.Listener
	http     *http.Server
	listener *callerconn.Listener
}

func newServer(name string, options settings.Listener, handler http.Handler) (*server, error) {
	s := &server{name: name, options: options, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      serverWriteTimeout,
		MaxHeaderBytes:    serverMaxHeaderBytes,
		Protocols:         new(http.Protocols),
	}}
	s.http.Protocols.SetHTTP1(true)
	if options.TLS != nil {
		reloader, err := certs.NewReloader(*options.TLS)
		if err != nil {
			return nil, fmt.Errorf("load TLS files of %s listener: %w", name, err)
		}
		s.http.TLSConfig = reloader.ServerConfig()
	}
	return s, nil
}

func (s *server) start(wg *sync.WaitGroup) error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("open %s listener: %w", s.name, err)
	}
	s.listener = callerconn.Track(listener.(*net.TCPListener), callerconn.Options{})
	s.http.ConnState = s.listener.SetState
	wg.Go(func() {
		serve := s.http.Serve
		if s.http.TLSConfig != nil {
			serve = func(l net.Listener) error { return s.http.ServeTLS(l, "", "") }
		}
		err := serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, callerconn.ErrFinished) {
			log.Errorf("%s listener failed: %v", s.name, err)
		}
	})
	return nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// readyPollInterval is the time between two readiness checks during startup.
const readyPollInterval = 10 * time.Millisecond

// awaitReady waits until the daemon is ready and returns true, or returns false if ctx ends first.
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

// Run runs a daemon until ctx ends, then drains it without a time limit and stops it. It calls onReady once the daemon
// is ready, which requires a configuration. The fx options must provide Options and a ConfigurationSource, and may
// provide the optional fields of Dependencies.
func Run(ctx context.Context, onReady func(*Daemon), options ...fx.Option) error {
	var d *Daemon
	app := fx.New(Module, fx.Options(options...), fx.Populate(&d), fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout), fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Err(); err != nil {
		return dig.RootCause(err) // omits the chain of fx constructors that led to it
	}
	startContext, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	if err := app.Start(startContext); err != nil {
		return err
	}
	if d.awaitReady(ctx) {
		onReady(d)
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
