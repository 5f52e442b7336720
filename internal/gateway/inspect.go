package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// reportTimeout bounds the wait for a report; an engine that does not return one in time is considered down.
	reportTimeout = 300 * time.Millisecond
	// reportTTL is how long a report is cached for all streams. The reports that engines return are themselves a few
	// hundred milliseconds old, and each call for one is charged.
	reportTTL = 500 * time.Millisecond
	// fullReportTTL is how long a report of a full engine explains the refusals that the engine writes. Each instance reads a
	// report of an engine that goes on refusing about once in this time.
	fullReportTTL = time.Second
	// probeCheckInterval is the time between two checks which engines are to be probed.
	probeCheckInterval = 50 * time.Millisecond
	// minDownProbeInterval is the interval between two probes of an engine that is down by the instance that probes for
	// its zone. For the others the interval grows by the same amount for every instancesPerIntervalStep instances.
	minDownProbeInterval     = 600 * time.Millisecond
	instancesPerIntervalStep = 16
)

// Engines reads the reports of engines and reroutes requests.
type Engines interface {
	// Report returns the current report of an engine.
	Report(ctx context.Context, target fleet.Target) (fleet.Report, error)
	// Reroute orders the first engine of a request's path to move the request to another path, which starts with the
	// same stage. The error gives the reason for any outcome other than Rerouted.
	Reroute(ctx context.Context, first fleet.Target, requestID string, path []Hop) (RerouteResult, error)
}

// inspector reads and caches the reports of engines, for example when a stream makes no progress.
type inspector struct {
	gateway *Gateway
	engines Engines
	calls   singleflight.Group

	mu      sync.Mutex
	reports map[entity.TargetID]reportResult
}

// reportResult is the result of reading an engine's report.
type reportResult struct {
	report fleet.Report
	err    error
	readAt time.Time
}

func newInspector(g *Gateway, engines Engines) *inspector {
	return &inspector{gateway: g, engines: engines, reports: make(map[entity.TargetID]reportResult)}
}

// inspect returns the report of an engine, which is cached for reportTTL. It records new reports and failures to read
// one in the fleet. An engine that asked to get no requests is not asked.
func (i *inspector) inspect(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	return i.inspectSince(ctx, target, time.Now().Add(-reportTTL))
}

// inspectSince is like inspect, but uses a cached report only if it was read after the given time.
func (i *inspector) inspectSince(ctx context.Context, target fleet.Target, since time.Time) (fleet.Report, error) {
	i.mu.Lock()
	cached, found := i.reports[target.ID]
	i.mu.Unlock()
	if found && cached.readAt.After(since) {
		return cached.report, cached.err
	}
	if i.gateway.backsOff(target.ID) {
		return fleet.Report{}, errBackedOff
	}
	result, _, _ := i.calls.Do(string(target.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		report, err := i.engines.Report(ctx, target)
		fresh := reportResult{report: report, err: err, readAt: time.Now()}
		i.mu.Lock()
		i.reports[target.ID] = fresh
		i.mu.Unlock()
		var refused *fleet.BackoffError
		switch {
		case err == nil:
			i.gateway.recordReport(target, report)
			if fresh.isOfLater(target) {
				i.gateway.recordEnded(target, "a later process answers at its address")
			}
		case errors.As(err, &refused):
			i.gateway.recordBackoff(target, refused.For)
		default:
			i.gateway.recordNoAnswer(target, err)
		}
		return fresh, nil
	})
	fresh := result.(reportResult)
	return fresh.report, fresh.err
}

// wasFullSince reports whether an engine has returned a report after the given time, and the last one shows that it is full.
func (i *inspector) wasFullSince(target fleet.Target, since time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	last, found := i.reports[target.ID]
	return found && last.readAt.After(since) && last.err == nil && !last.isOfOther(target) && last.report.Full()
}

// recordReport records the report of an engine and logs a change of its speed.
func (g *Gateway) recordReport(target fleet.Target, report fleet.Report) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordReport(boottime.Now(), target.ID, report)
	g.mu.Unlock()
	if changed {
		log.Event("speed of engine changed", "target", target.ID, "slowdown", report.Slowdown, "queued", report.Queued,
			"active", report.Active)
	}
}

// recordNoAnswer records that an engine returned no report.
func (g *Gateway) recordNoAnswer(target fleet.Target, err error) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordNoAnswer(boottime.Now(), target.ID, g.downProbeInterval()+reportTTL+reportTimeout)
	g.mu.Unlock()
	g.recordLinkFailure(target.Service)
	if changed {
		log.Event("engine does not answer", "target", target.ID, "born", target.Born, "error", err.Error())
	}
}

// downProbeInterval returns the interval between two probes of an engine that is down. It grows with the number of
// instances, since all of them probe. The caller holds g.mu.
func (g *Gateway) downProbeInterval() time.Duration {
	return minDownProbeInterval * time.Duration(1+g.peakInstances/instancesPerIntervalStep)
}

// ProbeDownEngines probes engines that are down, until ctx ends, so that they are used again once they respond.
func (g *Gateway) ProbeDownEngines(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		policy := fleet.ProbePolicy{Interval: g.downProbeInterval(), ForZone: g.collector, InUse: g.engineInUse}
		due := g.dispatcher.Fleet.DueProbes(boottime.Now(), policy)
		g.mu.Unlock()
		g.inspectAll(ctx, due, time.Now()) // a cached result may be from before the engine answered again
	}
}

// engineInUse reports whether a stream in progress passes through the engine. The caller holds g.mu.
func (g *Gateway) engineInUse(id entity.TargetID) bool {
	for s := range g.streams {
		if slices.ContainsFunc(s.path.Stages, func(stage dispatch.Stage) bool { return stage.Target.ID == id }) {
			return true
		}
	}
	return false
}

// inspectAll reads the reports of engines in the background, unless they were read after the given time.
func (g *Gateway) inspectAll(ctx context.Context, targets []fleet.Target, since time.Time) {
	for _, target := range targets {
		go func() {
			if _, err := g.inspector.inspectSince(ctx, target, since); err != nil {
				log.Debugf("failed to read report of engine %s: %v", target.ID, err)
			}
		}()
	}
}

// InspectSlowEngines reads the reports of engines that this instance has found to be slow, so that they are used again
// once they recover.
func (g *Gateway) InspectSlowEngines(ctx context.Context) {
	g.mu.Lock()
	slow := g.dispatcher.Fleet.SlowTargets(boottime.Now())
	g.mu.Unlock()
	g.inspectAll(ctx, slow, time.Now().Add(-reportTTL))
}
