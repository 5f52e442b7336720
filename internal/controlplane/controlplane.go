// Package controlplane connects a daemon to the platform and to its peers. It runs the configuration agent and the peer
// listener, and provides the daemon with its configuration, the targets it has to poll and the administration API.
package controlplane

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/adminapi"
	"github.com/hyssophoist/hyssophoist/internal/certs"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/configsync"
	"github.com/hyssophoist/hyssophoist/internal/daemon"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// assignmentPeriod is the time for which the set of targets to poll is used before it is computed again.
	assignmentPeriod = time.Second

	// bootstrapRetryDelay is the delay after a failed attempt to put Options.Preset in force.
	bootstrapRetryDelay = 2 * time.Second
)

var log = logging.For("controlplane")

// Options configures a ControlPlane.
type Options struct {
	Settings *settings.Settings
	// Incarnation increases with each run of the daemon; the start time in nanoseconds if 0.
	Incarnation uint64
	// Preset is stored and put in force if the platform holds no configuration yet; nil for none.
	Preset *entity.Preset
	// ClaimStatus answers peers that ask for the state of a posting attempt of this daemon. If nil, all are unknown.
	ClaimStatus func(entity.AttemptID) peer.ClaimState
}

// ControlPlane implements daemon.ConfigurationSource, daemon.PollSet and daemon.LoadObserver.
type ControlPlane struct {
	options  Options
	agent    *configsync.Agent
	client   *peer.Client
	server   *peer.Server
	listener net.Listener
	wg       sync.WaitGroup
	cancel   context.CancelFunc

	post  atomic.Pointer[func(...message.Input)]
	ready atomic.Pointer[func() error]

	mu         sync.Mutex
	loads      map[entity.TargetID]observedLoad
	assigned   map[entity.TargetID]bool
	assignedAt time.Time
}

// observedLoad is a load report and the time at which it was received.
type observedLoad struct {
	report message.LoadReported
	at     time.Time
}

// New opens the peer listener, if one is configured, and returns a control plane that is not running yet.
func New(options Options, table platform.TableStore, instances platform.InstanceLister) (*ControlPlane, error) {
	c := &ControlPlane{options: options, loads: make(map[entity.TargetID]observedLoad)}
	s := options.Settings
	clientTLS, serverTLS, err := peerTLS(s.Peer)
	if err != nil {
		return nil, err
	}
	address, err := c.listen(s.Peer.Address)
	if err != nil {
		return nil, err
	}
	clientOptions := peer.ClientOptions{Token: s.PeerToken, TLS: clientTLS}
	if s.Peer.Advertise != "" {
		address = s.Peer.Advertise
		clientOptions.LocalAddress = &net.TCPAddr{IP: c.listener.Addr().(*net.TCPAddr).IP}
	}
	c.client = peer.NewClient(clientOptions)
	c.agent = configsync.New(c.agentOptions(address, table, instances))
	if c.listener != nil {
		c.server, err = peer.NewServer(peer.ServerOptions{
			Handler: c.agent.Handler(), Token: s.PeerToken, TLS: serverTLS,
		})
	}
	return c, err
}

func (c *ControlPlane) agentOptions(
	address string, table platform.TableStore, instances platform.InstanceLister,
) configsync.Options {
	s := c.options.Settings
	seeds := make([]configsync.Seed, len(s.Peers))
	for i, seedSettings := range s.Peers {
		seeds[i] = configsync.Seed{Address: seedSettings.Address, Zone: entity.ZoneID(seedSettings.Zone)}
	}
	return configsync.Options{
		Daemon: entity.DaemonID(s.Daemon), Zone: entity.ZoneID(s.Zone), Address: address, Seeds: seeds,
		Store: configstore.New(configstore.Options{Table: table}), Instances: instances, Client: c.client,
		Incarnation: c.options.Incarnation,
		RandomSeed:  c.options.Incarnation,
		Ready:       c.isReady,
		ClaimStatus: c.options.ClaimStatus,
		Loads:       c.takeObservedLoads,
		OnLoads:     c.postPeerLoads,
		OnInstances: func(list message.InstancesListed) { c.postInputs(list) },
	}
}

// listen opens the peer listener and returns its address, which is advertised to peers by default.
func (c *ControlPlane) listen(address string) (string, error) {
	if address == "" {
		return "", nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("open peer listener: %w", err)
	}
	c.listener = listener
	return listener.Addr().String(), nil
}

func peerTLS(listener settings.Listener) (client func() *tls.Config, server *tls.Config, err error) {
	if listener.TLS == nil {
		return nil, nil, nil
	}
	reloader, err := certs.NewReloader(*listener.TLS)
	if err != nil {
		return nil, nil, fmt.Errorf("load peer listener certificates: %w", err)
	}
	return reloader.ClientConfig, reloader.ServerConfig(), nil
}

// Agent returns the configuration agent.
func (c *ControlPlane) Agent() *configsync.Agent { return c.agent }

// Client returns the client for calls to peers.
func (c *ControlPlane) Client() *peer.Client { return c.client }

// PeerAddress returns the address of the peer listener, or an empty string if there is none.
func (c *ControlPlane) PeerAddress() string {
	if c.listener == nil {
		return ""
	}
	return c.listener.Addr().String()
}

// Attach connects the running daemon: post receives load reports and instance lists, and ready returns the reason why
// the daemon is not ready, or nil.
func (c *ControlPlane) Attach(post func(...message.Input), ready func() error) {
	c.post.Store(&post)
	c.ready.Store(&ready)
}

func (c *ControlPlane) isReady() bool {
	ready := c.ready.Load()
	return ready != nil && (*ready)() == nil
}

func (c *ControlPlane) postInputs(inputs ...message.Input) {
	if post := c.post.Load(); post != nil {
		(*post)(inputs...)
	}
}

// Watch implements daemon.ConfigurationSource.
func (c *ControlPlane) Watch(f func(*entity.Configuration)) { c.agent.Watch(f) }

// PollsTarget implements daemon.PollSet.
func (c *ControlPlane) PollsTarget(id entity.TargetID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.assignedAt) > assignmentPeriod {
		c.assigned = make(map[entity.TargetID]bool)
		for _, target := range c.agent.AssignedTargets() {
			c.assigned[target] = true
		}
		c.assignedAt = time.Now()
	}
	return c.assigned[id]
}

// PollInterval implements daemon.PollSet. A target is not polled more often than its load reports are sent to peers.
func (c *ControlPlane) PollInterval() time.Duration {
	return max(daemon.LoadPollInterval, c.agent.LoadsPeriod())
}

// PollsInstances implements daemon.PollSet. The agent, not the daemon, reads the list of instances.
func (c *ControlPlane) PollsInstances() bool { return false }

// ObserveLoad implements daemon.LoadObserver.
func (c *ControlPlane) ObserveLoad(report engineapi.LoadReport) {
	load := daemon.LoadInput(entity.TargetID(report.Target), report)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[load.Target] = observedLoad{report: load, at: time.Now()}
}

// takeObservedLoads returns the reports observed since the last call, so that each is sent to the peers once.
func (c *ControlPlane) takeObservedLoads() []peer.TargetLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	loads := make([]peer.TargetLoad, 0, len(c.loads))
	for _, observed := range c.loads {
		loads = append(loads, encodeLoad(observed))
	}
	clear(c.loads)
	return loads
}

const permille = 1000

func encodeLoad(observed observedLoad) peer.TargetLoad {
	report := observed.report
	age := report.Age + time.Since(observed.at)
	return peer.TargetLoad{
		Target: report.Target, AgeMillis: uint32(age.Milliseconds()), Queued: uint32(report.Queued),
		Running: uint32(report.Running), KVPermille: uint32(report.KVUsed * permille),
		TokensProcessed: report.TokensProcessed,
	}
}

func (c *ControlPlane) postPeerLoads(loads []peer.TargetLoad) {
	inputs := make([]message.Input, len(loads))
	for i, load := range loads {
		inputs[i] = message.LoadReported{
			Target: load.Target, Age: time.Duration(load.AgeMillis) * time.Millisecond, Queued: int(load.Queued),
			Running: int(load.Running), KVUsed: float64(load.KVPermille) / permille, TokensProcessed: load.TokensProcessed,
		}
	}
	c.postInputs(inputs...)
}

func (c *ControlPlane) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if c.server != nil {
		c.wg.Go(func() {
			if err := c.server.Serve(ctx, c.listener); err != nil {
				log.Errorf("peer listener failed: %v", err)
			}
		})
	}
	c.wg.Go(func() {
		if err := c.agent.Run(ctx); err != nil {
			log.Errorf("configuration agent failed: %v", err)
		}
	})
	if c.options.Preset != nil {
		c.wg.Go(func() { c.bootstrap(ctx) })
	}
}

// bootstrap stores Options.Preset and puts it in force. It retries until this succeeds, a configuration is found, or
// ctx ends. The change id is derived from the preset's name, so that daemons that start together store the preset only
// once.
func (c *ControlPlane) bootstrap(ctx context.Context) {
	for ctx.Err() == nil && c.agent.Configuration() == nil {
		err := c.agent.Bootstrap(ctx, *c.options.Preset, "bootstrap-"+c.options.Preset.Name)
		if err == nil {
			return
		}
		log.Warningf("failed to put preset %q in force: %v", c.options.Preset.Name, err)
		timing.Sleep(ctx, bootstrapRetryDelay)
	}
}

func (c *ControlPlane) stop() {
	c.cancel()
	c.wg.Wait()
	c.client.Close()
}

// Module provides the control plane of a daemon. The application must provide Options, platform.TableStore and
// platform.InstanceLister.
var Module = fx.Module("controlplane",
	fx.Provide(
		newWithLifecycle,
		func(c *ControlPlane) daemon.ConfigurationSource { return c },
		func(c *ControlPlane) daemon.PollSet { return c },
		fx.Annotate(func(c *ControlPlane) daemon.LoadObserver { return c }, fx.ResultTags(`group:"load_observers"`)),
		newAdminHandler,
	),
	fx.Invoke(func(c *ControlPlane, d *daemon.Daemon) { c.Attach(d.Loop.Post, d.Ready) }),
)

func newWithLifecycle(
	lifecycle fx.Lifecycle, options Options, table platform.TableStore, instances platform.InstanceLister,
) (*ControlPlane, error) {
	c, err := New(options, table, instances)
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error { c.start(); return nil },
		OnStop:  func(context.Context) error { c.stop(); return nil },
	})
	return c, nil
}

func newAdminHandler(c *ControlPlane, options Options) daemon.AdminHandler {
	return adminapi.New(adminapi.Options{
		Backend: c.agent, Tokens: options.Settings.AdminTokens, CheckPreset: settings.CheckPreset,
	})
}
