// Package configsync distributes configurations among the daemons: it connects the state machine of package rollout and
// the membership of package peerset to the platform and the network.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	stepPeriod        = 100 * time.Millisecond
	heartbeatPeriod   = time.Second
	maintenancePeriod = time.Minute

	// sampleInfos and sampleHeartbeats are the numbers of full and compact updates about other daemons that an exchange
	// carries in each direction. At about 60 and 12 bytes each and two exchanges per second, they take 1.5 KB/s. With 410
	// daemons, the median age of the latest update about a daemon is then 9 s (TestNoFalseFailuresAtDesignSize); with 6
	// full and no compact updates it was 28 s, with 0.7% false failures.
	sampleInfos      = 3
	sampleHeartbeats = 15

	// startupHeartbeats is the number of heartbeats, one per second, during which a started daemon requests the list of
	// all daemons of its zone in its exchanges. They learn of it when it then sends them its load summary.
	startupHeartbeats = 10

	platformTimeout = 3 * time.Second
)

var log = logging.For("configsync")

// Seed is the address of another daemon, as configured in the settings.
type Seed struct {
	Address string
	Zone    entity.ZoneID
}

// Options configures an Agent.
type Options struct {
	Daemon entity.DaemonID
	Zone   entity.ZoneID
	// Address is the host:port of this daemon's peer listener.
	Address string
	// Incarnation increases with each start of the process; the start time in nanoseconds if 0.
	Incarnation uint64
	Seeds       []Seed
	Store       *configstore.Store
	// Instances provides the platform's list of instances; nil if it is not used.
	Instances platform.InstanceLister
	Client    *peer.Client
	// RandomSeed seeds the random number generator.
	RandomSeed uint64
	// Ready reports whether this daemon accepts requests. If nil, the daemon is ready once a configuration is in force.
	Ready func() bool
	// ClaimStatus returns the state of an attempt at this daemon; peer.ClaimUnknown if nil.
	ClaimStatus func(entity.AttemptID) peer.ClaimState
	// Loads returns the load reports of the targets that this daemon polls; none if nil.
	Loads func() []peer.TargetLoad
	// OnLoads is called with the load reports of the targets that zone peers poll. It may be called concurrently.
	OnLoads func([]peer.TargetLoad)
	// OnInstances is called with the platform's list after each change to it.
	OnInstances func(message.InstancesListed)
}

// Agent keeps the configuration of one daemon up to date and exchanges membership information with the other daemons.
// It is safe for concurrent use.
type Agent struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu        sync.Mutex
	rollout   *rollout.Rollout
	peers     *peerset.Set
	rand      *rand.Rand
	bodies    bodyCache
	inForce   *entity.Configuration
	instances instanceList
	stopping  bool

	watchMu         sync.Mutex // serializes the calls to watchers
	watchers        []func(*entity.Configuration)
	notifiedVersion uint64        // version of the last configuration passed to watchers
	changed         chan struct{} // signals Run to notify the watchers
}

// New returns an agent without a configuration in force. Its Handler can be used before Run.
func New(options Options) *Agent {
	if options.Incarnation == 0 {
		options.Incarnation = uint64(time.Now().UnixNano())
	}
	random := rand.New(rand.NewPCG(options.RandomSeed, options.Incarnation))
	peers := peerset.New(peerset.Options{
		Self: peerset.Info{
			ID: options.Daemon, Zone: options.Zone, Address: options.Address, Incarnation: options.Incarnation,
		},
		Rand: random,
	})
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options: options,
		ctx:     ctx,
		cancel:  cancel,
		rollout: rollout.New(rollout.Options{Peers: peers, Rand: random}),
		peers:   peers,
		rand:    random,
		bodies:  newBodyCache(),
		changed: make(chan struct{}, 1),
	}
	a.addSeeds(time.Now())
	return a
}

// addSeeds adds the seed addresses at which no daemon is known. It is repeated, since the daemon known at such an
// address can be replaced and forgotten.
func (a *Agent) addSeeds(now time.Time) {
	for _, seed := range a.options.Seeds {
		a.peers.AddSeed(now, seed.Address, seed.Zone)
	}
}

// Watch registers a function that is called with each configuration put in force, in order of versions and never
// concurrently. If a configuration is already in force, the function is first called with that one. A configuration
// that is replaced before it can be passed on is skipped. The function must not modify the configuration.
func (a *Agent) Watch(watcher func(*entity.Configuration)) {
	a.watchMu.Lock()
	defer a.watchMu.Unlock()
	a.watchers = append(a.watchers, watcher)
	if a.notifiedVersion == 0 {
		return
	}
	if configuration := a.Configuration(); configuration.Version == a.notifiedVersion {
		watcher(configuration)
		return
	}
	a.notifyWatchersLocked()
}

// Configuration returns the configuration in force, or nil.
func (a *Agent) Configuration() *entity.Configuration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inForce
}

// notifyWatchers passes the configuration in force to the watchers unless they have already received it.
func (a *Agent) notifyWatchers() {
	a.watchMu.Lock()
	defer a.watchMu.Unlock()
	a.notifyWatchersLocked()
}

func (a *Agent) notifyWatchersLocked() {
	configuration := a.Configuration()
	if configuration == nil || configuration.Version <= a.notifiedVersion {
		return
	}
	a.notifiedVersion = configuration.Version
	for _, watcher := range a.watchers {
		watcher(configuration)
	}
}

// Run keeps the configuration up to date until the context ends. It returns once all calls in progress have ended.
func (a *Agent) Run(ctx context.Context) error {
	defer a.stop()
	if a.options.Instances != nil {
		a.spawn(a.readInstances)
	}
	a.spawn(a.sendLoadsPeriodically)
	stepTicker := time.NewTicker(stepPeriod)
	defer stepTicker.Stop()
	heartbeatTicker := time.NewTicker(heartbeatPeriod)
	defer heartbeatTicker.Stop()
	maintenanceTicker := time.NewTicker(maintenancePeriod)
	defer maintenanceTicker.Stop()
	a.incrementHeartbeat()
	a.step()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-stepTicker.C:
			a.step()
		case <-heartbeatTicker.C:
			a.incrementHeartbeat()
		case now := <-maintenanceTicker.C:
			a.options.Client.CloseIdle(now)
			a.mu.Lock()
			a.rollout.Forget(a.peers.Forget(now))
			a.addSeeds(now)
			a.mu.Unlock()
		case <-a.changed:
			a.notifyWatchers()
		}
	}
}

func (a *Agent) stop() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.cancel()
	a.tasks.Wait()
}

// spawn starts a goroutine for a task that ends with the agent's context. It does nothing once the agent is stopping.
func (a *Agent) spawn(task func(context.Context)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spawnLocked(task)
}

func (a *Agent) spawnLocked(task func(context.Context)) {
	if a.stopping {
		return
	}
	a.tasks.Go(func() { task(a.ctx) })
}

func (a *Agent) incrementHeartbeat() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.IncrementHeartbeat(a.ownStateLocked())
}

// ownStateLocked returns the version in force at this daemon, or 0 for none, and whether the daemon is ready.
func (a *Agent) ownStateLocked() (version uint64, ready bool) {
	if a.inForce == nil {
		return 0, a.options.Ready != nil && a.options.Ready()
	}
	return a.inForce.Version, a.options.Ready == nil || a.options.Ready()
}

// step passes the inputs to the rollout state machine and carries out its commands.
func (a *Agent) step(inputs ...rollout.Input) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stepLocked(inputs...)
}

func (a *Agent) stepLocked(inputs ...rollout.Input) {
	for _, command := range a.rollout.Step(time.Now(), inputs...) {
		switch command := command.(type) {
		case rollout.ReadPlatform:
			a.spawnLocked(a.readPlatform)
		case rollout.Exchange:
			a.spawnLocked(func(ctx context.Context) { a.exchange(ctx, command) })
		case rollout.Announce:
			a.spawnLocked(func(ctx context.Context) { a.announce(ctx, command) })
		case rollout.PutInForce:
			a.putInForce(command.Record)
		}
	}
}

// putInForce makes a record the configuration of this daemon. The body of its preset must be in the cache; a record
// is passed to the state machine only when it is.
func (a *Agent) putInForce(record *rollout.Record) {
	body := a.bodies.get(record.Preset)
	if body == nil {
		invariant.ReportViolation(invariant.Internal,
			"version %d cannot be put in force: preset %s is not in the cache", record.Version, record.Preset)
		return
	}
	if a.inForce != nil && record.Version <= a.inForce.Version {
		invariant.ReportViolation(invariant.MonotonicConfiguration,
			"version %d cannot replace version %d", record.Version, a.inForce.Version)
		return
	}
	a.inForce = record.Configuration(body.preset)
	log.Infof("version %d by %s is in force with preset %s", record.Version, record.ChangedBy, record.Preset)
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// readPlatform reads the record from the platform's table, and the body of its preset unless it is cached.
func (a *Agent) readPlatform(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	record, err := a.options.Store.Current(ctx)
	if err == nil && record != nil {
		err = a.fetchBody(ctx, record, "")
	}
	if err != nil {
		log.Debugf("failed to read the configuration from the platform: %v", err)
		a.step(rollout.PlatformRead{Failed: true})
		return
	}
	a.step(rollout.PlatformRead{Record: record})
}

// fetchBody ensures that the body of a record's preset is in the cache. The body comes from the peer at address, if one
// is given and provides it, and otherwise from the platform. A record that is not newer than the held one needs no
// body.
func (a *Agent) fetchBody(ctx context.Context, record *rollout.Record, address string) error {
	a.mu.Lock()
	cached := a.bodies.get(record.Preset) != nil
	held := a.rollout.Held()
	a.mu.Unlock()
	if cached || (held != nil && held.Version >= record.Version) {
		return nil
	}
	if address != "" {
		var reply peer.PresetReply
		err := a.options.Client.Call(ctx, address, peer.PresetCall, &peer.PresetArgs{Preset: record.Preset}, &reply)
		if err == nil && len(reply.Body) > 0 {
			return a.addCompressedBody(record.Preset, reply.Body)
		}
	}
	preset, err := a.options.Store.Preset(ctx, record.Preset)
	if err != nil {
		return err
	}
	a.addBody(record.Preset, preset)
	return nil
}

func (a *Agent) addBody(ref rollout.PresetRef, preset *entity.Preset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies.put(ref, preset)
}

// addCompressedBody decodes a body that a peer has sent and adds it to the cache.
func (a *Agent) addCompressedBody(ref rollout.PresetRef, compressed []byte) error {
	preset, err := decompress(compressed)
	if err != nil {
		return err
	}
	if preset.Name != ref.Name || preset.Revision != ref.Revision {
		return errkind.New(errkind.Internal, "peer sent preset %s/%d instead of %s", preset.Name, preset.Revision, ref)
	}
	a.addBody(ref, preset)
	return nil
}
