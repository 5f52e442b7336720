// Package edge assembles and runs the edge daemon, the process of an instance that serves callers on the users'
// platform.
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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/hyssophoist/hyssophoist/api/edgeapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	coreloadshare "github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/callerconn"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/gateway"
	"github.com/hyssophoist/hyssophoist/internal/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/placer"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/platform"
)

const (
	// headerTimeout and idleTimeout limit a caller's connection. The idle timeout in the configuration (routing.Limits)
	// limits it further, see idleTimeoutFactor: callers reuse connections that have been idle for most of that time.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes is the limit of net/http on a head, which only matters where the configuration allows more. Below it, the
	// limit in the configuration or defaultHeadBytes applies, see Daemon.headLimits.
	maxHeaderBytes   = 1 << 20
	defaultHeadBytes = 64 << 10
	// memoryLimitRatio is the soft memory limit of the Go runtime as a fraction of the memory of the process. The
	// garbage collector runs more often near that limit. The rest is for what the kernel holds unread for connections, which
	// counts too: a fifth of the memory at most in test/callerlimits.
	memoryLimitRatio = 0.75
	// bodyMemoryRatio and requestBodyMemoryRatio are the memory for buffered response bodies and for the bodies of requests
	// in progress as fractions of the memory of the process. Together with callerMemoryRatio they leave the rest for the process
	// itself.
	bodyMemoryRatio        = 0.15
	requestBodyMemoryRatio = 0.4
	maintenanceInterval    = time.Second
	startTimeout           = 10 * time.Second
	// millicores is the capacity of a whole core (see core/loadshare.Member).
	millicores = 1000
)

var log = logging.For("edge")

// Daemon is a running edge daemon.
type Daemon struct {
	settings      *settings.Edge
	gateway       *gateway.Gateway
	pool          *connpool.Pool
	store         *platform.Store
	tables        *tables
	placer        *placer.Placer
	sharer        *loadshare.Sharer
	metrics       *Metrics
	front         *http.Server
	callers       *callerconn.Listener
	shed          shedLog
	auxiliary     []*http.Server
	entries       targetEntries
	targetsLoaded atomic.Bool // set after the first read of the list of targets
	draining      atomic.Bool
	wg            sync.WaitGroup
	cancel        context.CancelFunc
}

// Module provides the edge daemon and its components from the settings.
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
		Zone: entity.ZoneID(s.Zone), Codec: platform.Codec{}, Pool: pool, OnRequestEnd: m.observeRequest, Engines: engines,
		OnStreamBroken: func(reason string) { m.BrokenStreams.WithLabelValues(reason).Inc() },
		OnRefusal:      func(rank int) { m.Refusals.WithLabelValues(strconv.Itoa(rank)).Inc() },
		FirstStart:     s.FirstStart, BodyMemory: memoryShare(s, bodyMemoryRatio),
		RequestBodyMemory: memoryShare(s, requestBodyMemoryRatio),
		RetryLimit:        retry.Limit{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Span: time.Duration(s.Retries.Span)},
	})
}

// memoryShare returns a fraction of the memory of the process, in bytes.
func memoryShare(s *settings.Edge, ratio float64) int64 {
	return int64(float64(s.MemoryMB) * ratio * (1 << 20))
}

func newStore(s *settings.Edge) *platform.Store {
	return platform.NewStore(s.Store.Address, time.Duration(s.Store.Timeout))
}

func newPlacer(s *settings.Edge, g *gateway.Gateway, engines *platform.EngineClient, store *platform.Store, t *tables,
	sharer *loadshare.Sharer, m *Metrics) *placer.Placer {
	return placer.New(placer.Options{
		Daemon: entity.DaemonID(s.Daemon), View: g, Engines: engines, Table: store, Rank: sharer.PlacementRank,
		Isolated:   g.ReachesNoEngines,
		Era:        t.era,
		OrderGiven: func(o placer.Outcome) { m.Orders.WithLabelValues(o.String()).Inc() },
	})
}

func newSharer(s *settings.Edge, g *gateway.Gateway, store *platform.Store, t *tables) *loadshare.Sharer {
	return loadshare.New(loadshare.Options{
		Self: coreloadshare.Member{
			ID: entity.DaemonID(s.Daemon), Zone: entity.ZoneID(s.Zone), Address: s.Peer,
			Incarnation: uint64(time.Now().UnixNano()), Capacity: int(s.CPUShare * millicores), Relay: s.Relay,
		},
		View: g, Table: store, Tables: t, Isolated: g.ReachesNoEngines,
	})
}

func newDaemon(lifecycle fx.Lifecycle, s *settings.Edge, g *gateway.Gateway, pool *connpool.Pool, store *platform.Store,
	t *tables, p *placer.Placer, sharer *loadshare.Sharer, engines *platform.EngineClient, m *Metrics) *Daemon {
	m.registerTables(t)
	m.registerStore(store)
	store.OnEra = func(before, era uint64) {
		t.observeEra(era)
		if before != 0 {
			log.Event("store was restored from a copy", "era", era, "before", before)
			sharer.StoreRestored()
		}
	}
	m.registerGateway(g)
	m.registerLeaving(g)
	g.OnCrash(sharer.Announce)
	if s.Relay != "" {
		g.RelayTo(gateway.RelayOptions{
			Self: entity.DaemonID(s.Daemon), Peers: sharer.RelayPeers, Pool: connpool.New(),
			MaxAccepted: maxRelayedRequests(descriptors(s)),
		})
	}
	followLeaving(s, g, engines)
	d := &Daemon{
		settings: s, gateway: g, pool: pool, store: store, tables: t, placer: p, sharer: sharer, metrics: m,
		entries: targetEntries{waiting: make(map[entity.TargetID]waitingEntry)},
	}
	lifecycle.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
	return d
}

func (d *Daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.front = &http.Server{
		Handler: d.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		Protocols: http1Only(), ErrorLog: nil,
	}
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadyPath, d.serveReady).Methods(http.MethodGet)
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", d.metrics.handler()).Methods(http.MethodGet)
	metrics.HandleFunc(edgeapi.RoutePath, d.serveRouteExplanation).Methods(http.MethodGet)
	d.auxiliary = []*http.Server{
		{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: http1Only()},
		{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: http1Only()},
	}
	err := errors.Join(d.listenForCallers(), d.listen(d.auxiliary[0], d.settings.Ready),
		d.listen(d.auxiliary[1], d.settings.Metrics))
	if d.settings.Relay != "" {
		relays := &http.Server{
			Handler: d.gateway.RelayHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: maxHeaderBytes, Protocols: http1Only(),
		}
		d.auxiliary = append(d.auxiliary, relays)
		err = errors.Join(err, d.listen(relays, d.settings.Relay))
	}
	if err != nil {
		cancel()
		return err
	}
	d.wg.Go(func() { d.tables.configuration.Run(ctx, (*configurationObserver)(d)) })
	d.wg.Go(func() { d.tables.targets.Run(ctx, (*targetObserver)(d)) })
	d.wg.Go(func() { d.placer.Run(ctx) })
	d.wg.Go(func() {
		if err := d.sharer.Run(ctx); err != nil {
			log.Errorf("failed to share loads: %v", err)
		}
	})
	d.wg.Go(func() { d.maintain(ctx) })
	d.wg.Go(func() { d.gateway.ProbeDownEngines(ctx) })
	d.wg.Go(func() { d.gateway.CheckLinks(ctx) })
	d.wg.Go(func() { boottime.WatchPauses(ctx, d.handlePause) })
	log.Event("started", "daemon", d.settings.Daemon, "zone", d.settings.Zone, "front", d.settings.Front,
		"store", d.settings.Store.Address, "memoryMB", d.settings.MemoryMB)
	return nil
}

func http1Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

func (d *Daemon) listen(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	d.serve(server, listener)
	return nil
}

// serve serves the connections of a listener in the background until the listener is closed.
func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.wg.Go(func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, callerconn.ErrFinished) {
			log.Errorf("failed to serve on %s: %v", listener.Addr(), err)
		}
	})
}

// maintain runs the periodic work: it closes idle connections, drops expired targets and old evidence on crashes, and
// checks slow engines again.
func (d *Daemon) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.pool.CloseExpired(now)
			d.gateway.WithFleet(func(f *fleet.Fleet) { f.Tick(boottime.Now()) })
			d.gateway.InspectSlowEngines(ctx)
			d.gateway.TickQuarantine()
		}
	}
}

// handlePause runs after the process was suspended. It closes idle pooled connections, which may be dead, and cancels
// the requests whose deadline passed during the pause, so that they are answered at once.
func (d *Daemon) handlePause(pause boottime.Pause) {
	log.Event("daemon was paused", "for", pause.Length.Round(time.Millisecond),
		"suspended", pause.Suspended.Round(time.Millisecond))
	d.pool.CloseExpired(time.Now().Add(time.Hour))
	d.gateway.HandleSuspension(pause.Suspended)
	d.tables.wake()
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why the daemon does not accept callers, or "" if it does.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.draining.Load():
		return "stopping"
	case d.gateway.Configuration() == nil:
		return "no configuration"
	case !d.targetsLoaded.Load():
		return "no list of targets"
	}
	return ""
}

func (d *Daemon) stop(context.Context) error {
	d.cancel()
	err := d.front.Close()
	for _, server := range d.auxiliary {
		err = errors.Join(err, server.Close())
	}
	d.wg.Wait()
	log.Event("stopped", "daemon", d.settings.Daemon)
	return err
}

// Run runs an edge daemon with the settings file at path until ctx ends, then shuts it down gracefully. On SIGHUP it
// reloads the settings file, see reload.
func Run(ctx context.Context, path string) error {
	// Installed before anything else, since SIGHUP terminates a process that does not handle it.
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
	debug.SetMemoryLimit(memoryShare(s, memoryLimitRatio))
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
	stopCtx, cancel := context.WithTimeout(context.Background(), stopMargin)
	defer cancel()
	return app.Stop(stopCtx)
}

// reload reads the settings file again and logs whether it differs from the current settings. Changes take effect at
// the next start.
func reload(path string, current *settings.Edge) {
	next, err := settings.LoadEdge(path)
	if err != nil {
		log.Event("reload failed, settings kept", "error", err.Error())
		return
	}
	log.Event("reloaded settings", "changed", *next != *current)
}
