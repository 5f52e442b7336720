package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// linkCheckTick is the time between two looks whether services are to be checked.
	linkCheckTick = 50 * time.Millisecond
	// linkCheckTimeout bounds the connections of a check. Targets are at most a few milliseconds away.
	linkCheckTimeout = 100 * time.Millisecond
	// moreTargetsDelay is the time without an accepted connection after which a check connects to more targets.
	moreTargetsDelay = 20 * time.Millisecond
	// maxCheckTime bounds the wait for a check; checkPollInterval is the time between two looks whether it has ended.
	maxCheckTime      = moreTargetsDelay + linkCheckTimeout + linkCheckTick
	checkPollInterval = 2 * time.Millisecond
	// slowDialTime is the time without a connection after which the links are checked, before the dial times out.
	slowDialTime = 50 * time.Millisecond
	// firstCheckTargets and maxCheckTargets are the numbers of targets that a check connects to, first and in all: in most cases
	// the first ones show that the links are sound.
	firstCheckTargets = 2
	maxCheckTargets   = 6
)

// recordLinkFailure records that a target could not be reached, and has its service checked.
func (g *Gateway) recordLinkFailure(service entity.ServiceID) {
	g.mu.Lock()
	due := g.links.RecordFailure(boottime.Now(), service)
	g.mu.Unlock()
	if due {
		select {
		case g.checkLinks <- struct{}{}:
		default: // a check is already requested
		}
	}
}

// isolated reports whether this instance has lost its links to all targets of a service.
func (g *Gateway) isolated(service entity.ServiceID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links.Isolated(service)
}

// IsolatedServices returns the number of services to whose targets this instance has lost its links.
func (g *Gateway) IsolatedServices() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links.Count()
}

// awaitLinkCheck waits for the check in progress of a service, if there is one: a request that has reached no target can then be
// relayed.
func (g *Gateway) awaitLinkCheck(ctx context.Context, service entity.ServiceID) {
	pending := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.links.Pending(boottime.Now(), service)
	}
	for end := time.Now().Add(maxCheckTime); pending() && ctx.Err() == nil && time.Now().Before(end); {
		timing.Sleep(ctx, checkPollInterval)
	}
}

// ReachesNoEngines reports whether this instance has lost its links to the targets of all services with engines. If it reaches one, it
// is rather the targets of the others that have ended.
func (g *Gateway) ReachesNoEngines() bool {
	configuration := g.configuration.Load()
	if configuration == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	for id, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		if !g.links.Isolated(id) {
			return false
		}
		found = true
	}
	return found
}

// CheckLinks finds out whether this instance has lost its links to targets, until ctx ends.
func (g *Gateway) CheckLinks(ctx context.Context) {
	ticker := time.NewTicker(linkCheckTick)
	defer ticker.Stop()
	for {
		select {
		case <-g.checkLinks:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		configuration := g.configuration.Load()
		g.mu.Lock()
		if configuration != nil {
			g.links.Retain(func(id entity.ServiceID) bool { return configuration.Services[id] != nil })
		}
		due := g.links.BeginChecks(boottime.Now())
		g.mu.Unlock()
		for _, service := range due {
			go g.checkService(ctx, service)
		}
	}
}

// checkService connects to targets of a service and records whether one accepts a connection.
func (g *Gateway) checkService(ctx context.Context, service entity.ServiceID) {
	g.mu.Lock()
	targets := g.dispatcher.Fleet.SampleTargets(boottime.Now(), service, maxCheckTargets, rand.IntN)
	g.mu.Unlock()
	first := min(firstCheckTargets, len(targets))
	firstAccepts := make(chan bool, 1)
	go func() { firstAccepts <- g.anyAccepts(ctx, targets[:first], linkCheckTimeout) }()
	accepted := false
	select {
	case accepted = <-firstAccepts:
		accepted = accepted || g.anyAccepts(ctx, targets[first:], linkCheckTimeout)
	case <-time.After(moreTargetsDelay):
		accepted = g.anyAccepts(ctx, targets[first:], linkCheckTimeout) || <-firstAccepts
	}
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	changed := g.links.RecordCheck(service, accepted, len(targets))
	if changed && accepted {
		g.dispatcher.Fleet.ForgetFailures(boottime.Now(), service)
	}
	g.mu.Unlock()
	switch {
	case !changed:
	case accepted:
		log.Event("targets are reached again", "service", service)
	default:
		log.Event("no target is reached", "service", service, "asked", len(targets))
		g.options.Pool.CloseExpired(time.Now().Add(time.Hour)) // idle connections may be dead without a sign of it
	}
}

// anyAccepts reports whether one of the targets accepts a new connection.
func (g *Gateway) anyAccepts(ctx context.Context, targets []fleet.Target, timeout time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(targets))
	for _, target := range targets {
		go func() { results <- g.connect(ctx, target, timeout) }()
	}
	for range targets {
		if err := <-results; err == nil {
			return true
		}
	}
	return false
}
