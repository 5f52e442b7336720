package router

import (
	"maps"
	"time"

	"github.com/hyssophoist/hyssophoist/core/chain"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/table"
)

// target is the table row of one target. Attempts point to it, so it can outlive its removal from the configuration.
type target struct {
	entity.Target
	index           int  // position in Router.byIndex
	zoneIndex       int  // the router's number for the zone
	leaving         bool // by mark or by the list of instances
	removed         bool // not in the configuration in force
	inProgress      int
	attemptsStarted int
	streaming       int // attempts in progress that have received a token
	estimates       estimates
	cache           prefixCache
	// pendingPromptTokens is the sum of the prompt tokens of attempts that have received no token yet. It covers load
	// that is not in load reports and step times yet.
	pendingPromptTokens float64
	// pendingSince is the time when pendingPromptTokens last became positive, or that of any later progress through the
	// target.
	pendingSince time.Time

	// lastProgress is the time of the latest progress of any attempt through the target.
	lastProgress        time.Time
	consecutiveFailures int // failures since the latest progress
	suspectUntil        time.Time
}

// unavailable reports whether the target takes no new work.
func (t *target) unavailable() bool { return t.leaving || t.removed }

type model struct {
	entity.Model
	graph *chain.Graph
}

type service struct {
	entity.Service
	targets []*target
}

func (r *Router) applyConfiguration(c *entity.Configuration) {
	if c == nil {
		return
	}
	if r.configuration != nil && c.Version <= r.configuration.Version {
		return
	}
	r.configuration = c
	r.tuning = tuningFor(c.Preset.Objective)
	for _, account := range c.Preset.Accounts {
		r.queue.SetWeight(account.ID, account.Weight)
	}
	r.rebuildTargets()
}

// rebuildTargets makes the target rows match the configuration and keeps the estimates for targets that stay.
func (r *Router) rebuildTargets() {
	c := r.configuration
	for _, t := range r.targets.All {
		t.removed = true
	}
	for i := range c.Preset.Targets {
		r.putTarget(c.Preset.Targets[i])
	}
	leaving := make(map[entity.TargetID]bool)
	for i := range c.Marks {
		mark := &c.Marks[i]
		if mark.Target != nil && mark.State == entity.JoinMark {
			r.putTarget(*mark.Target)
		}
		leaving[entity.TargetID(mark.ID)] = mark.State == entity.LeaveMark
	}
	r.byIndex = r.byIndex[:0]
	for id, t := range r.targets.All {
		if t.removed {
			r.targets.Delete(id)
			for hash := range t.cache.hashes {
				r.removePrefix(t, hash)
			}
			continue
		}
		t.leaving = leaving[id] || r.listedLeaving[id]
		t.index = len(r.byIndex)
		r.byIndex = append(r.byIndex, t)
	}
	for _, t := range r.byIndex {
		maps.DeleteFunc(t.estimates.links, func(to *target, _ *link) bool { return to.removed })
	}
	r.rebuildGraphs()
}

func (r *Router) putTarget(spec entity.Target) {
	t := r.targets.Get(spec.ID)
	if t == nil {
		t = &target{}
		r.targets.Put(spec.ID, t)
	}
	t.Target = spec
	index, ok := r.zoneIndexes[spec.Zone]
	if !ok {
		index = len(r.zoneIndexes)
		r.zoneIndexes[spec.Zone] = index
	}
	t.zoneIndex = index
	t.removed = false
}

// rebuildGraphs indexes the targets that take new work by model and service.
func (r *Router) rebuildGraphs() {
	nodes := make(map[entity.ModelID][]chain.Node)
	serviceTargets := make(map[entity.ServiceID][]*target)
	for _, t := range r.byIndex {
		if t.unavailable() {
			continue
		}
		if t.Kind == entity.ServiceTarget {
			serviceTargets[t.Service] = append(serviceTargets[t.Service], t)
			continue
		}
		nodes[t.Model] = append(nodes[t.Model],
			chain.Node{Index: t.index, Layers: t.Layers, Local: t.Zone == r.options.Zone})
	}
	r.models = table.New[entity.ModelID, model]()
	for _, m := range r.configuration.Preset.Models {
		r.models.Put(m.ID, &model{Model: m, graph: chain.NewGraph(m.Layers, nodes[m.ID])})
	}
	r.services = table.New[entity.ServiceID, service]()
	for _, s := range r.configuration.Preset.Services {
		r.services.Put(s.ID, &service{Service: s, targets: serviceTargets[s.ID]})
	}
	r.refuseUnservable()
}

// refuseUnservable refuses the requests that wait for a start or retry and that no target can serve any more. Otherwise
// they would wait until their deadline.
func (r *Router) refuseUnservable() {
	for _, q := range r.requests.All {
		if len(q.attempts) == 0 {
			r.refuseIfUnservable(q)
		}
	}
}

func (r *Router) applyInstances(listed []message.ListedInstance) {
	previous := r.listedLeaving
	r.listedLeaving = make(map[entity.TargetID]bool)
	changed := false
	for _, instance := range listed {
		id := entity.TargetID(instance.ID)
		if instance.State == message.InstanceLeaving {
			r.listedLeaving[id] = true
			changed = changed || !previous[id]
		}
	}
	changed = changed || len(previous) != len(r.listedLeaving)
	if changed && r.configuration != nil {
		r.rebuildTargets()
	}
}

// callTimeout returns the time that one call of the service may take.
func (s *service) callTimeout() time.Duration {
	return time.Duration(s.TimeoutSeconds * float64(time.Second))
}
