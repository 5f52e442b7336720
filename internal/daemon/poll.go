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
	// LoadPollInterval is the least time between two load reports of a target. A poll of load and cache events is about
	// 660 bytes.
	LoadPollInterval = time.Second
	// cacheEventsInterval is the longest interval at which cache events are polled as well. At the design size they would
	// take 45 KB/s of a daemon, six times its budget, and lower the time to first token by less than a tenth.
	cacheEventsInterval = LoadPollInterval
	// InstancesPollInterval is the time between two readings of the instance list. New work must stop 3 s after a
	// target is listed as leaving, and the list itself lags.
	InstancesPollInterval = time.Second
	// maxConcurrentPolls bounds the polls in progress; a target that does not respond takes one for a second.
	maxConcurrentPolls = 32
)

// PollSet restricts what a daemon polls itself; it gets the rest from its peers.
type PollSet interface {
	// Target says whether this daemon polls the load and cache events of a target.
	Target(id entity.TargetID) bool
	// Interval is the time between two polls of a target.
	Interval() time.Duration
	// Instances says whether this daemon reads the platform's list of instances.
	Instances() bool
}

// LoadObserver is told of load reports, for example to pass them on to peers.
type LoadObserver interface {
	ObserveLoad(report engineapi.LoadReport)
}

// LoadInput returns a load report as an input of the router.
func LoadInput(target entity.TargetID, report engineapi.LoadReport) message.LoadReported {
	return message.LoadReported{
		Target: target, Age: time.Duration(report.AgeMS) * time.Millisecond, Queued: report.Queued,
		Running: report.Running, KVUsed: report.KVUsed, TokensProcessed: report.TokensProcessed,
	}
}

type pollAll struct{}

func (pollAll) Target(entity.TargetID) bool { return true }
func (pollAll) Interval() time.Duration     { return LoadPollInterval }
func (pollAll) Instances() bool             { return true }

// poller asks targets for load reports and cache events, and the platform for the list of instances.
type poller struct {
	loop      *Loop
	engines   *engine.Client
	instances platform.InstanceLister
	set       PollSet
	observers []LoadObserver
	metrics   *metrics.Metrics

	mu       sync.Mutex
	sequence map[entity.TargetID]uint64 // last cache event seen
	reports  map[entity.TargetID]uint64 // sequence of the last load report
}

func newPoller(loop *Loop, engines *engine.Client, deps Dependencies, m *metrics.Metrics) *poller {
	set := deps.Polls
	if set == nil {
		set = pollAll{}
	}
	return &poller{
		loop: loop, engines: engines, instances: deps.Instances, set: set, observers: deps.Observers, metrics: m,
		sequence: make(map[entity.TargetID]uint64), reports: make(map[entity.TargetID]uint64),
	}
}

func (p *poller) run(ctx context.Context) {
	var all sync.WaitGroup
	all.Go(func() { every(ctx, p.set.Interval, p.pollTargets) })
	if p.instances != nil {
		interval := func() time.Duration { return InstancesPollInterval }
		all.Go(func() { every(ctx, interval, p.pollInstances) })
	}
	all.Wait()
}

// every calls f at once and then at the interval, counted from start to start, until ctx ends.
func every(ctx context.Context, interval func() time.Duration, f func(context.Context)) {
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

// pollTargets polls each target of the set once. A round that takes longer than the interval delays the next one.
func (p *poller) pollTargets(ctx context.Context) {
	configuration := p.loop.Configuration()
	if configuration == nil {
		return
	}
	targets := Targets(configuration)
	p.forget(targets)
	var polls errgroup.Group
	polls.SetLimit(maxConcurrentPolls)
	for _, target := range targets {
		if ctx.Err() != nil {
			break
		}
		if !p.set.Target(target.ID) {
			continue
		}
		polls.Go(func() error {
			p.pollLoad(ctx, target)
			if target.Kind == entity.EngineTarget && p.set.Interval() <= cacheEventsInterval {
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
		p.failed(ctx, "load", err)
		return
	}
	p.mu.Lock()
	if report.Sequence < p.reports[target.ID] {
		// The target has restarted and counts its cache events from 1 again.
		delete(p.sequence, target.ID)
	}
	p.reports[target.ID] = report.Sequence
	p.mu.Unlock()
	report.Target = string(target.ID) // the preset's name, whatever the target calls itself
	for _, observer := range p.observers {
		observer.ObserveLoad(report)
	}
	p.loop.Post(LoadInput(target.ID, report))
}

func (p *poller) pollCache(ctx context.Context, target entity.Target) {
	p.mu.Lock()
	after := p.sequence[target.ID]
	p.mu.Unlock()
	events, err := p.engines.CacheEvents(ctx, target.URL, after)
	if err != nil {
		p.failed(ctx, "cache_events", err)
		return
	}
	for _, event := range events {
		if event.Sequence <= after {
			continue // a repetition
		}
		after = event.Sequence
		p.loop.Post(message.CacheChanged{
			Target: target.ID, Sequence: event.Sequence, Added: event.Added, Evicted: event.Evicted,
		})
	}
	p.mu.Lock()
	p.sequence[target.ID] = after
	p.mu.Unlock()
}

// forget drops the sequences of targets that are no longer configured. A target that comes back starts anew.
func (p *poller) forget(targets []entity.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	configured := make(map[entity.TargetID]bool, len(targets))
	for _, target := range targets {
		configured[target.ID] = true
	}
	dropped := func(id entity.TargetID, _ uint64) bool { return !configured[id] }
	maps.DeleteFunc(p.sequence, dropped)
	maps.DeleteFunc(p.reports, dropped)
}

func (p *poller) pollInstances(ctx context.Context) {
	if !p.set.Instances() {
		return
	}
	instances, err := p.instances.ListInstances(ctx)
	if err != nil {
		p.failed(ctx, "instances", err)
		return
	}
	listed := message.InstancesListed{Instances: make([]message.ListedInstance, len(instances))}
	for i, instance := range instances {
		listed.Instances[i] = message.ListedInstance{ID: instance.ID, State: message.InstanceState(instance.State)}
	}
	p.loop.Post(listed)
}

func (p *poller) failed(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	p.metrics.PollErrors.WithLabelValues(what).Inc()
	log.Debugf("poll of %s failed: %v", what, err)
}
