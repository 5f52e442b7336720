package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	// LoadPollInterval is the minimum time between two polls of the load of a target. One poll of load and cache events
	// transfers about 660 bytes.
	LoadPollInterval = time.Second
	// maxCacheEventsInterval is the longest poll interval at which cache events are polled too. In a deployment of the
	// design size (410 daemons, 3,200 targets), polling them would take 45 KB/s per daemon, six times a daemon's traffic
	// budget, and would lower the time to first token by less than a tenth.
	maxCacheEventsInterval = LoadPollInterval
	// InstancesPollInterval is the time between two polls of the instance list. A target must get no new work from 3 s
	// after it is listed as leaving, and the list itself lags.
	InstancesPollInterval = time.Second
	// maxConcurrentPolls is the maximum number of concurrent polls. A call to a target that does not respond occupies one
	// of them for a second.
	maxConcurrentPolls = 32
)

// PollSet restricts what a daemon polls itself; it receives the rest from its peers.
type PollSet interface {
	// PollsTarget reports whether this daemon polls the load and cache events of a target.
	PollsTarget(id entity.TargetID) bool
	// PollInterval returns the time between two polls of a target.
	PollInterval() time.Duration
	// PollsInstances reports whether this daemon polls the platform's list of instances.
	PollsInstances() bool
}

// LoadObserver receives the load reports that this daemon polls, for example to forward them to peers.
type LoadObserver interface {
	ObserveLoad(report engineapi.LoadReport)
}

// LoadInput converts a load report of target to an input of the router.
func LoadInput(target entity.TargetID, report engineapi.LoadReport) message.LoadReported {
	return message.LoadReported{
		Target: target, Age: time.Duration(report.AgeMS) * time.Millisecond, Queued: report.Queued,
		Running: report.Running, KVUsed: report.KVUsed, TokensProcessed: report.TokensProcessed,
	}
}

// pollAll is the PollSet of a daemon that polls everything.
type pollAll struct{}

func (pollAll) PollsTarget(entity.TargetID) bool { return true }
func (pollAll) PollInterval() time.Duration      { return LoadPollInterval }
func (pollAll) PollsInstances() bool             { return true }

// poller polls targets for load reports and cache events, and the platform for the list of instances.
type poller struct {
	loop      *Loop
	engines   *engine.Client
	instances platform.InstanceLister
	pollSet   PollSet
	observers []LoadObserver
	metrics   *metrics.Metrics

	mu              sync.Mutex
	cacheSequences  map[entity.TargetID]uint64 // sequence number of the last cache event
	reportSequences map[entity.TargetID]uint64 // sequence number of the last load report
}

func newPoller(loop *Loop, engines *engine.Client, deps Dependencies, m *metrics.Metrics) *poller {
	pollSet := deps.PollSet
	if pollSet == nil {
		pollSet = pollAll{}
	}
	return &poller{
		loop: loop, engines: engines, instances: deps.Instances, pollSet: pollSet, observers: deps.Observers, metrics: m,
		cacheSequences: make(map[entity.TargetID]uint64), reportSequences: make(map[entity.TargetID]uint64),
	}
}

func (p *poller) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, p.pollSet.PollInterval, p.pollTargets) })
	if p.instances != nil {
		interval := func() time.Duration { return InstancesPollInterval }
		wg.Go(func() { runPeriodically(ctx, interval, p.pollInstances) })
	}
	wg.Wait()
}

// runPeriodically calls f immediately and then once per interval until ctx ends. The interval runs from the start of
// one call to the start of the next.
func runPeriodically(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(interval())
		f(ctx)
	}
}

// pollTargets polls each target of the poll set once. If it takes longer than the poll interval, the next round is
// delayed.
func (p *poller) pollTargets(ctx context.Context) {
	configuration := p.loop.Configuration()
	if configuration == nil {
		return
	}
	targets := Targets(configuration)
	p.dropUnconfigured(targets)
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for _, target := range targets {
		if ctx.Err() != nil {
			break
		}
		if !p.pollSet.PollsTarget(target.ID) {
			continue
		}
		polls.Go(func() error {
			p.pollLoad(ctx, target)
			if target.Kind == entity.EngineTarget && p.pollSet.PollInterval() <= maxCacheEventsInterval {
				p.pollCache(ctx, target)
			}
			return nil
		})
	}
	_ = polls.Wait() // polls return no errors
}

func (p *poller) pollLoad(ctx context.Context, target entity.Target) {
	report, err := p.engines.Load(ctx, target.URL)
	if err != nil {
		p.recordFailure(ctx, "load", err)
		return
	}
	p.mu.Lock()
	if report.Sequence < p.reportSequences[target.ID] {
		// The target has restarted and numbers its cache events from 1 again.
		delete(p.cacheSequences, target.ID)
	}
	p.reportSequences[target.ID] = report.Sequence
	p.mu.Unlock()
	report.Target = string(target.ID) // the id from the configuration, even if the target reports another
	for _, observer := range p.observers {
		observer.ObserveLoad(report)
	}
	p.loop.Post(LoadInput(target.ID, report))
}

func (p *poller) pollCache(ctx context.Context, target entity.Target) {
	p.mu.Lock()
	after := p.cacheSequences[target.ID]
	p.mu.Unlock()
	events, err := p.engines.CacheEvents(ctx, target.URL, after)
	if err != nil {
		p.recordFailure(ctx, "cache_events", err)
		return
	}
	for _, event := range events {
		if event.Sequence <= after {
			continue // a duplicate
		}
		after = event.Sequence
		p.loop.Post(message.CacheChanged{
			Target: target.ID, Sequence: event.Sequence, Added: event.Added, Evicted: event.Evicted,
		})
	}
	p.mu.Lock()
	p.cacheSequences[target.ID] = after
	p.mu.Unlock()
}

// dropUnconfigured deletes the sequence numbers of targets that are no longer configured. A target that is configured
// again later starts without them.
func (p *poller) dropUnconfigured(targets []entity.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configured := make(map[entity.TargetID]bool, len(targets))
	for _, target := range targets {
		configured[target.ID] = true
	}
	unconfigured := func(id entity.TargetID, _ uint64) bool { return !configured[id] }
	maps.DeleteFunc(p.cacheSequences, unconfigured)
	maps.DeleteFunc(p.reportSequences, unconfigured)
}

func (p *poller) pollInstances(ctx context.Context) {
	if !p.pollSet.PollsInstances() {
		return
	}
	instances, err := p.instances.ListInstances(ctx)
	if err != nil {
		p.recordFailure(ctx, "instances", err)
		return
	}
	listed := message.InstancesListed{Instances: make([]message.ListedInstance, len(instances))}
	for i, instance := range instances {
		listed.Instances[i] = message.ListedInstance{ID: instance.ID, State: message.InstanceState(instance.State)}
	}
	p.loop.Post(listed)
}

// recordFailure counts and logs a failed poll, unless ctx has ended.
func (p *poller) recordFailure(ctx context.Context, resource string, err error) {
	if ctx.Err() != nil {
		return
	}
	p.metrics.PollErrors.WithLabelValues(resource).Inc()
	log.Debugf("failed to poll %s: %v", resource, err)
}
