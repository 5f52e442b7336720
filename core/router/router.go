// Package router decides for one daemon which targets serve which request. It keeps tables of targets, models, services
// and requests. Each call of Step applies new inputs to them and makes the decisions that are due.
//
// The package is pure decision logic. It does no I/O, starts no goroutines, takes no locks and reads no clock: the
// caller passes the time, the seed and typed inputs, and gets typed commands. The same seed and inputs give the same
// commands. A Router is not safe for concurrent use.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/admission"
	"github.com/hyssophoist/hyssophoist/core/chain"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/table"
)

// Options configures a router. Daemon, Zone and Seed should be set; the rest may be left zero.
type Options struct {
	Daemon entity.DaemonID
	Zone   entity.ZoneID
	// Seed seeds the router's random choices. Daemons need different seeds, else they choose the same targets.
	Seed uint64
	// Policy selects how chains are chosen; the zero value is Learned.
	Policy Policy
	// FixedTimeouts cancels attempts after fixed times, whatever the load, and UnlimitedRetries disables the retry
	// budget and the limit on attempts. Both are for the benchmark that shows what the budget prevents.
	FixedTimeouts    bool
	UnlimitedRetries bool
	// IgnoreCache ignores prefix cache events, for the benchmark that measures the gain of prefix affinity.
	IgnoreCache bool
	// OnViolation is called for each violated invariant; may be nil.
	OnViolation func(Violation)
}

// Policy selects how chains are chosen.
type Policy int

// The policies. All but Learned exist as baselines of the benchmarks.
const (
	// Learned chooses by expected completion time from learned rates, links and queues.
	Learned Policy = iota
	// FewestInProgress chooses the targets with the fewest requests in progress from this daemon.
	FewestInProgress
	// RoundRobin chooses the targets in turn.
	RoundRobin
)

// Router makes the decisions of one daemon.
type Router struct {
	options  Options
	random   *rand.Rand
	now      time.Time
	commands []message.Command

	configuration *entity.Configuration
	tuning        tuning
	targets       *table.Table[entity.TargetID, target]
	byIndex       []*target // indexed by target.index
	models        *table.Table[entity.ModelID, model]
	services      *table.Table[entity.ServiceID, service]
	listedLeaving map[entity.TargetID]bool

	classStepTimes map[targetClass]*classStepTime
	callTimes      map[entity.ServiceID]*estimate.Mean // seconds
	// prefixHolders lists the targets whose prefix cache is expected to hold a prefix, by the prefix's hash.
	prefixHolders    map[uint64][]*target
	preferred        []chain.Node // buffer reused by preferredNodes
	zoneIndexes      map[entity.ZoneID]int
	zoneLinks        map[zonePair]*zoneLinks
	outputRatio      estimate.Mean // output tokens divided by MaxTokens
	attemptTime      estimate.Mean // seconds from start to end of a completion's last attempt
	timePerToken     estimate.Mean // seconds per output token after the first progress
	timeToFirstToken estimate.Mean // seconds from start to first progress
	// normalizedTimeToFirstToken is the time from start to first progress in seconds, waits at the targets included,
	// divided by the prompt tokens plus firstTokenOverheadTokens.
	normalizedTimeToFirstToken estimate.Mean

	adaptiveTimeout adaptiveTimeout
	requests        *table.Table[entity.RequestID, request]
	queue           *admission.Queue
	retryBudget     retry.Budget
	throughput      admission.Throughput

	saturatedAt time.Time // last time at which requests were left waiting
	stopping    bool
	stopped     bool
	counts      Counts
}

// New returns a router without a configuration; it refuses requests until it gets one.
func New(options Options) *Router {
	return &Router{
		options:        options,
		random:         rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		tuning:         tuningFor(entity.ThroughputObjective),
		targets:        table.New[entity.TargetID, target](),
		models:         table.New[entity.ModelID, model](),
		services:       table.New[entity.ServiceID, service](),
		listedLeaving:  make(map[entity.TargetID]bool),
		classStepTimes: make(map[targetClass]*classStepTime),
		callTimes:      make(map[entity.ServiceID]*estimate.Mean),
		prefixHolders:  make(map[uint64][]*target),
		zoneIndexes:    make(map[entity.ZoneID]int),
		zoneLinks:      make(map[zonePair]*zoneLinks),
		requests:       table.New[entity.RequestID, request](),
		queue:          admission.NewQueue(),
		throughput:     admission.Throughput{HalfLife: throughputHalfLife},
		retryBudget:    retry.Budget{Ratio: retryShare, Burst: retryBurst},
	}
}

// Step applies the inputs in order, handles the timeouts, hedges and retries that are due, starts queued requests, and
// returns the commands in the order in which they must be executed. now must not go back; an earlier time counts as the
// time of the last call.
func (r *Router) Step(now time.Time, inputs []message.Input) []message.Command {
	if now.After(r.now) {
		r.now = now
	}
	r.commands = nil
	for _, input := range inputs {
		r.apply(input)
	}
	r.checkRequests()
	r.dispatch()
	if r.queue.Len() > 0 {
		r.saturatedAt = r.now
	}
	r.checkStop()
	return r.commands
}

func (r *Router) apply(input message.Input) {
	switch in := input.(type) {
	case message.ConfigurationChanged:
		r.applyConfiguration(in.Configuration)
	case message.InstancesListed:
		r.applyInstances(in.Instances)
	case message.RequestArrived:
		r.applyArrival(in)
	case message.RequestCanceled:
		r.applyCancel(in.Request)
	case message.AttemptProgressed:
		r.applyProgress(in)
	case message.AttemptFinished:
		r.applyFinish(in)
	case message.AttemptFailed:
		r.applyFailure(in)
	case message.LoadReported:
		r.applyLoad(in)
	case message.CacheChanged:
		r.applyCache(in)
	case message.StopRequested:
		r.stopping = true
	}
}

func (r *Router) emit(command message.Command) {
	r.commands = append(r.commands, command)
}

func (r *Router) checkStop() {
	if r.stopping && !r.stopped && r.requests.Len() == 0 {
		r.stopped = true
		r.emit(message.StopCompleted{})
	}
}
