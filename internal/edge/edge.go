// Package edge wires an edge daemon: one process on an entry instance of the users' platform that serves callers.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	members "github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
	"github.com/hyssophoist/hyssophoist/internal/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/placer"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/platform"
)

const (
	// drainDelay is how long a stopping daemon still accepts connections: the platform takes it out of rotation after two
	// questions, one a second, that it does not answer with 200.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is left of the grace time to end the process.
	stopMargin = 400 * time.Millisecond
	// headerTimeout and idleTimeout bound a caller's connection. Callers reuse connections that have been idle for most
	// of the configured limit, so the bound here lies above all configured limits.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	// memoryShare is the part of the process's memory at which the garbage collector works harder.
	memoryShare  = 0.6
	sweepPeriod  = time.Second
	startTimeout = 10 * time.Second
)

var log = logging.For("edge")

// Daemon is a running edge daemon.
type Daemon struct {
	settings *settings.Edge
	gateway  *gateway.Gateway
	pool     *connpool.Pool
	store    *platform.Store
	tables   *tables
	placer   *placer.Placer
	sharer   *loadshare.Sharer
	metrics  *Metrics
	front    *http.Server
	other    []*http.Server
	targets  atomic.Bool // the list of targets has been read
	draining atomic.Bool
	running  sync.WaitGroup
	cancel   context.CancelFunc
}

// Module wires an edge daemon from its settings.
var Module = fx.Module("edge",
	fx.Provide(newMetrics, newPool, newEngines, newGateway, newStore, newTables, newPlacer, newSharer, newDaemon),
)

func newPool(m *Metrics) *connpool.Pool {
	pool := connpool.New()
	pool.OnDial = m.Dials.Inc
	return pool
}

func newEngines() *platform.EngineClient { return platform.NewEngineClient(connpool.DialTimeout) }

func newGateway(s *settings.Edge, pool *connpool.Pool, engines *platform.EngineClient, m *Metrics) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Zone: entity.ZoneID(s.Zone), Codec: platform.Codec{}, Pool: pool, OnRequestEnd: m.requestEnded, Engines: engines,
		FirstStart: s.FirstStart,
		RetryLimit: retry.Limit{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Span: time.Duration(s.Retries.Span)},
	})
}

func newStore(s *settings.Edge) *platform.Store {
	return platform.NewStore(s.Store.Address, time.Duration(s.Store.Timeout))
}

func newPlacer(s *settings.Edge, g *gateway.Gateway, engines *platform.EngineClient, store *platform.Store,
	sharer *loadshare.Sharer, m *Metrics) *placer.Placer {
	return placer.New(placer.Options{
		Daemon: entity.DaemonID(s.Daemon), View: g, Engines: engines, Table: store, Rank: sharer.Rank,
		OrderGiven: func(o placer.Outcome) { m.Orders.WithLabelValues(o.String()).Inc() },
	})
}

func newSharer(s *settings.Edge, g *gateway.Gateway, store *platform.Store, t *tables) *loadshare.Sharer {
	return loadshare.New(loadshare.Options{
		Self: members.Member{
			ID: entity.DaemonID(s.Daemon), Zone: entity.ZoneID(s.Zone), Address: s.Peer,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		View: g, Table: store, Tables: t,
	})
}

func newDaemon(lifecycle fx.Lifecycle, s *settings.Edge, g *gateway.Gateway, pool *connpool.Pool, store *platform.Store,
	t *tables, p *placer.Placer, sharer *loadshare.Sharer, m *Metrics) *Daemon {
	d := &Daemon{
		settings: s, gateway: g, pool: pool, store: store, tables: t, placer: p, sharer: sharer, metrics: m,
	}
	lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

func (d *Daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.front = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: http1(), ErrorLog: nil,
	}
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, d.serveReady).Methods(http.MethodGet)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", d.metrics.handler()).Methods(http.MethodGet)
	d.other = []*http.Server{
		{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: http1()},
		{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: http1()},
	}
	for _, listening := range []struct {
		server  *http.Server
		address string
	}{{d.front, d.settings.Front}, {d.other[0], d.settings.Ready}, {d.other[1], d.settings.Metrics}} {
		if err := d.listen(listening.server, listening.address); err != nil {
			cancel()
			return err
		}
	}
	d.running.Go(func() { d.tables.configuration.Run(ctx, (*configurationObserver)(d)) })
	d.running.Go(func() { d.tables.targets.Run(ctx, (*targetObserver)(d)) })
	d.running.Go(func() { d.placer.Run(ctx) })
	d.running.Go(func() {
		if err := d.sharer.Run(ctx); err != nil {
			log.Errorf("loads are not shared: %v", err)
		}
	})
	d.running.Go(func() { d.sweep(ctx) })
	d.running.Go(func() { d.gateway.ProbeDownEngines(ctx) })
	d.running.Go(func() { boottime.WatchPauses(ctx, d.paused) })
	log.Event("started", "daemon", d.settings.Daemon, "zone", d.settings.Zone, "front", d.settings.Front,
		"store", d.settings.Store.Address, "memoryMB", d.settings.MemoryMB)
	return nil
}

func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

func (d *Daemon) listen(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	d.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Errorf("listener %s failed: %v", address, err)
		}
	})
	return nil
}

// sweep runs the systems that work by the clock.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.Sweep(now)
			d.gateway.WithFleet(func(f *fleet.Fleet) { f.Tick(boottime.Now()) })
			d.gateway.InspectSlowEngines(ctx)
		}
	}
}

// paused drops what a daemon that did not run for some time can no longer rely on: its connections may be dead, and
// requests whose time has passed meanwhile are answered at once.
func (d *Daemon) paused(pause time.Duration) {
	log.Event("daemon was paused", "for", pause.Round(time.Millisecond))
	d.pool.Sweep(time.Now().Add(time.Hour))
	d.gateway.HandlePause(pause)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady says why the daemon takes no callers, or "".
func (d *Daemon) notReady() string {
	switch {
	case d.draining.Load():
		return "stopping"
	case d.gateway.Configuration() == nil:
		return "no configuration"
	case !d.targets.Load():
		return "no list of targets"
	}
	return ""
}

// drain stops taking callers and waits for the requests in progress, at most until the grace time is nearly over.
func (d *Daemon) drain() {
	end := time.Now().Add(time.Duration(d.settings.StopGrace) - stopMargin)
	d.draining.Store(true)
	d.gateway.StartDraining()
	d.placer.Stop()
	log.Event("stopping", "daemon", d.settings.Daemon, "grace", time.Duration(d.settings.StopGrace))
	time.Sleep(drainDelay)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.front.Shutdown(ctx); err != nil {
		log.Event("requests are cut off at the end of the grace time", "error", err.Error())
	}
}

func (d *Daemon) stop(context.Context) error {
	d.cancel()
	err := d.front.Close()
	for _, server := range d.other {
		err = errors.Join(err, server.Close())
	}
	d.running.Wait()
	log.Event("stopped", "daemon", d.settings.Daemon)
	return err
}

// Run runs an edge daemon with the settings file at path until ctx ends, then shuts it down gracefully. A hangup signal
// makes it read its settings again.
func Run(ctx context.Context, path string) error {
	// First of all, since a hangup signal ends a process that does not handle it.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := settings.LoadEdge(path)
	if err != nil {
		return err
	}
	output := logging.NewWriter(os.Stdout)
	defer output.Close()
	if err := logging.Redirect(output, s.Verbosity); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	var d *Daemon
	app := fx.New(Module, fx.Supply(s), fx.Populate(&d), fx.StartTimeout(startTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Err(); err != nil {
		return dig.RootCause(err)
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-hangup:
			reload(path, s)
		}
	}
	d.drain()
	stopContext, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	return app.Stop(stopContext)
}

// reload reads the settings again and logs whether they differ. Changes take effect at the next start.
func reload(path string, current *settings.Edge) {
	next, err := settings.LoadEdge(path)
	if err != nil {
		log.Event("reload failed, settings kept", "error", err.Error())
		return
	}
	log.Event("reloaded settings", "changed", *next != *current)
}
