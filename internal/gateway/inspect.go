package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// reportTimeout bounds the wait for a report; an engine that gives none is taken to have failed.
	reportTimeout = 300 * time.Millisecond
	// reportLife is how long a report serves all streams that ask. Engines give reports that are some hundred
	// milliseconds old, and each costs a priced call.
	reportTTL = 500 * time.Millisecond
	// downProbe is the time between two questions to an engine that does not answer, for each instancesPerProbe instances.
	downProbeInterval = 600 * time.Millisecond
	instancesPerProbe = 16
)

// Engines reads reports of engines and reroutes requests.
type Engines interface {
	Report(ctx context.Context, target fleet.Target) (fleet.Report, error)
	// Reroute has the first engine of a request's path send the request along another path, which begins with the same
	// stage. The error gives the reason of outcomes other than Rerouted.
	Reroute(ctx context.Context, first fleet.Target, requestID string, path []Hop) (RerouteResult, error)
}

// inspector asks engines for reports when a stream makes no progress.
type inspector struct {
	gateway *Gateway
	engines Engines
	calls   singleflight.Group

	mu      sync.Mutex
	reports map[entity.TargetID]reportResult
}

type reportResult struct {
	report fleet.Report
	err    error
	readAt time.Time
}

func newInspector(g *Gateway, engines Engines) *inspector {
	return &inspector{gateway: g, engines: engines, reports: make(map[entity.TargetID]reportResult)}
}

// inspect returns a recent report of an engine and notes its speed.
func (i *inspector) inspect(ctx context.Context, target fleet.Target) (fleet.Report, error) {
	i.mu.Lock()
	cached, found := i.reports[target.ID]
	i.mu.Unlock()
	if found && time.Since(cached.readAt) < reportTTL {
		return cached.report, cached.err
	}
	result, _, _ := i.calls.Do(string(target.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		report, err := i.engines.Report(ctx, target)
		fresh := reportResult{report: report, err: err, readAt: time.Now()}
		i.mu.Lock()
		i.reports[target.ID] = fresh
		i.mu.Unlock()
		if err == nil {
			i.gateway.recordReport(target, report)
		} else {
			i.gateway.recordNoAnswer(target, err)
		}
		return fresh, nil
	})
	fresh := result.(reportResult)
	return fresh.report, fresh.err
}

func (g *Gateway) recordReport(target fleet.Target, report fleet.Report) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordReport(boottime.Now(), target.ID, report)
	g.mu.Unlock()
	if changed {
		log.Event("speed of engine changed", "target", target.ID, "slowdown", report.Slowdown, "queued", report.Queued,
			"active", report.Active)
	}
}

// noteSilence notes that an engine gave no report.
func (g *Gateway) recordNoAnswer(target fleet.Target, err error) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordNoAnswer(boottime.Now(), target.ID, g.downProbeInterval()+reportTTL+reportTimeout)
	g.mu.Unlock()
	if changed {
		log.Event("engine does not answer", "target", target.ID, "born", target.Born, "error", err.Error())
	}
}

// downProbe returns the time between two questions to an engine that does not answer. It grows with the number of
// instances, which all ask.
func (g *Gateway) downProbeInterval() time.Duration {
	return downProbeInterval * time.Duration(1+g.peakInstances/instancesPerProbe)
}

// WatchDown asks engines that do not answer again, until ctx ends, so that they are used once they do.
func (g *Gateway) ProbeDownEngines(ctx context.Context) {
	for {
		g.mu.Lock()
		down, interval := g.dispatcher.Fleet.DownTargets(boottime.Now()), g.downProbeInterval()
		g.mu.Unlock()
		g.inspectAll(ctx, down)
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// inspectAll asks engines without waiting for their reports.
func (g *Gateway) inspectAll(ctx context.Context, targets []fleet.Target) {
	for _, target := range targets {
		go func() {
			if _, err := g.inspector.inspect(ctx, target); err != nil {
				log.Debugf("Engine %s gave no report: %v.", target.ID, err)
			}
		}()
	}
}

// InspectSlow asks the engines that this instance has found to be slow again, so that they are used once they recover.
func (g *Gateway) InspectSlowEngines(ctx context.Context) {
	g.mu.Lock()
	slow := g.dispatcher.Fleet.SlowTargets(boottime.Now())
	g.mu.Unlock()
	g.inspectAll(ctx, slow)
}
