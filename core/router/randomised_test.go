package router

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// Guards against a violated invariant under random configurations, loads and faults. Each seed is one episode. An
// oracle follows all attempts and outcomes independently of the router's own assertions.
func TestRandomisedRouter(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 20_000)
	const stepsPerEpisode = 2000
	for done := uint64(0); done < steps; done += stepsPerEpisode {
		o := newOracle(seed)
		o.run(int(min(stepsPerEpisode, steps-done)))
		if len(o.failures) > 0 {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: %v", seed, min(stepsPerEpisode, steps-done), o.failures[0])
		}
		seed++
	}
}

// Guards against decisions that depend on anything but seed and inputs, such as the order of a Go map.
func TestSameSeedSameDecisions(t *testing.T) {
	seed := testenv.Seed(t, 1)
	first, second := newOracle(seed), newOracle(seed)
	first.run(2000)
	second.run(2000)
	if len(first.log) == 0 || !reflect.DeepEqual(first.log, second.log) {
		t.Errorf("HYSSOPHOIST_SEED=%d: two runs with %d and %d commands differ", seed, len(first.log), len(second.log))
	}
}

// oracle simulates the daemon and the targets with random inputs, and checks the router's commands.
type oracle struct {
	random         *rand.Rand
	router         *Router
	now            time.Time
	config         *entity.Configuration
	listedLeaving  map[entity.TargetID]bool
	openRequests   map[entity.RequestID]*trackedRequest
	running        []*trackedRequest
	highestVersion uint64
	requestCount   int
	stopping       bool
	log            []message.Command
	failures       []string
}

// trackedRequest is the oracle's record of a request.
type trackedRequest struct {
	message.RequestArrived
	attempt    entity.AttemptID
	position   int
	mayHaveRun bool // an attempt was canceled, or failed with a run outcome other than not run
	stuck      bool // the attempt makes no more progress
}

func newOracle(seed uint64) *oracle {
	o := &oracle{random: rand.New(rand.NewPCG(seed, 3)), now: testStart, listedLeaving: make(map[entity.TargetID]bool),
		openRequests: make(map[entity.RequestID]*trackedRequest)}
	o.router = New(Options{Daemon: "d", Zone: "z0", Seed: seed, OnViolation: func(v Violation) {
		o.fail("invariant %s: %s", v.Invariant, v.Message)
	}})
	return o
}

func (o *oracle) fail(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf(format, args...))
}

func (o *oracle) run(steps int) {
	for i := range steps {
		o.now = o.now.Add(time.Duration(o.random.Int64N(int64(20 * time.Millisecond))))
		var inputs []message.Input
		if i == 0 || o.random.IntN(200) == 0 {
			inputs = append(inputs, o.configure())
		}
		if o.random.IntN(300) == 0 {
			inputs = append(inputs, o.listInstances())
		}
		for range o.random.IntN(4) {
			inputs = append(inputs, o.newRequest())
		}
		inputs = append(inputs, o.events()...)
		if i == steps*9/10 {
			inputs = append(inputs, message.StopRequested{})
			o.stopping = true
		}
		for _, command := range o.router.Step(o.now, inputs) {
			o.check(command)
		}
		if version := o.router.Status().Version; version < o.highestVersion {
			o.fail("configuration version decreased from %d to %d", o.highestVersion, version)
		}
	}
	o.finish()
}

// finish lets all deadlines pass and checks that every request got its outcome.
func (o *oracle) finish() {
	for _, command := range o.router.Step(o.now.Add(time.Hour), nil) {
		o.check(command)
	}
	if len(o.openRequests) > 0 {
		o.fail("%d requests have no outcome", len(o.openRequests))
	}
	for _, t := range o.router.Targets() {
		if t.InProgress != 0 {
			o.fail("target %s counts %d requests in progress after all have ended", t.Target.ID, t.InProgress)
		}
	}
}

// configure returns a random configuration. One in five has a version that is not higher than the one in force, which
// the router must ignore.
func (o *oracle) configure() message.Input {
	c := &entity.Configuration{Version: o.highestVersion + 1 + uint64(o.random.IntN(3))}
	c.Preset = entity.Preset{Objective: entity.ThroughputObjective,
		Models:   []entity.Model{{ID: "m0", Layers: 12}, {ID: "m1", Layers: 6}},
		Services: []entity.Service{{ID: "s", TimeoutSeconds: 0.1 + o.random.Float64()}},
		Limits:   entity.Limits{QueueLength: 1 + o.random.IntN(50)}}
	if o.random.IntN(2) == 0 {
		c.Preset.Objective = entity.RecoveryObjective
	}
	for i := range 4 {
		c.Preset.Accounts = append(c.Preset.Accounts, entity.Account{ID: accountID(i), Weight: o.random.Float64() * 3})
	}
	for i := range 5 + o.random.IntN(20) {
		from := 3 * o.random.IntN(4)
		target := entity.Target{ID: entity.TargetID(fmt.Sprintf("t%d", i)), Kind: entity.EngineTarget, Model: "m0",
			Zone:   entity.ZoneID(fmt.Sprintf("z%d", o.random.IntN(3))),
			Layers: entity.LayerRange{From: from, To: from + 3*(1+o.random.IntN(3))}}
		if i%5 == 4 {
			target.Kind, target.Service, target.Model = entity.ServiceTarget, "s", ""
		} else if i%4 == 3 {
			target.Model = "m1"
		}
		c.Preset.Targets = append(c.Preset.Targets, target)
		if o.random.IntN(8) == 0 {
			c.Marks = append(c.Marks, entity.Mark{ID: string(target.ID), State: entity.LeaveMark})
		}
	}
	if o.highestVersion > 0 && o.random.IntN(5) == 0 {
		c.Version = uint64(o.random.Int64N(int64(o.highestVersion) + 1))
		return message.ConfigurationChanged{Configuration: c}
	}
	o.highestVersion, o.config = c.Version, c
	return message.ConfigurationChanged{Configuration: c}
}

func accountID(i int) entity.AccountID { return entity.AccountID(fmt.Sprintf("a%d", i)) }

func (o *oracle) listInstances() message.Input {
	clear(o.listedLeaving)
	var in message.InstancesListed
	for i := range 25 {
		instance := message.ListedInstance{ID: fmt.Sprintf("t%d", i), State: message.InstanceLive}
		if o.random.IntN(10) == 0 {
			instance.State = message.InstanceLeaving
			o.listedLeaving[entity.TargetID(instance.ID)] = true
		}
		in.Instances = append(in.Instances, instance)
	}
	return in
}

func (o *oracle) newRequest() message.Input {
	o.requestCount++
	in := message.RequestArrived{Request: entity.RequestID(fmt.Sprintf("r%d", o.requestCount)),
		Account: accountID(o.random.IntN(4)),
		Model:   entity.ModelID(fmt.Sprintf("m%d", o.random.IntN(3))), PromptTokens: 1 + o.random.IntN(4000),
		MaxTokens: 1 + o.random.IntN(300), PrefixHashes: o.hashes(), Priority: entity.Priority(o.random.IntN(3) - 1),
		Deadline: o.now.Add(time.Duration(o.random.Int64N(int64(5 * time.Second))))}
	if o.random.IntN(3) == 0 {
		in.Kind, in.Service, in.Idempotent = message.ServiceCall, "s", o.random.IntN(2) == 0
	}
	o.openRequests[in.Request] = &trackedRequest{RequestArrived: in}
	return in
}

// events returns random events of attempts in progress, of unknown attempts and of targets.
func (o *oracle) events() []message.Input {
	var inputs []message.Input
	kept := o.running[:0]
	for _, q := range o.running {
		if o.openRequests[q.Request] != q || q.attempt == "" {
			continue
		}
		kept = append(kept, q)
		if q.stuck || o.random.IntN(4) > 0 {
			continue
		}
		inputs = append(inputs, o.event(q))
	}
	o.running = kept
	if o.random.IntN(3) == 0 {
		inputs = append(inputs, message.LoadReported{Target: entity.TargetID(fmt.Sprintf("t%d", o.random.IntN(25))),
			Age: time.Duration(o.random.Int64N(int64(time.Second))), Queued: o.random.IntN(3), Running: o.random.IntN(50),
			TokensProcessed: uint64(o.random.IntN(100000))})
	}
	if o.random.IntN(3) == 0 {
		inputs = append(inputs, message.CacheChanged{Target: entity.TargetID(fmt.Sprintf("t%d", o.random.IntN(25))),
			Sequence: uint64(o.random.IntN(50)), Added: o.hashes(), Evicted: o.hashes()})
	}
	if o.random.IntN(20) == 0 {
		inputs = append(inputs, message.AttemptFinished{
			Request: entity.RequestID(fmt.Sprintf("r%d", 1+o.random.IntN(o.requestCount+1))), Attempt: "late"})
	}
	return inputs
}

func (o *oracle) hashes() []uint64 {
	hashes := make([]uint64, o.random.IntN(5))
	for i := range hashes {
		hashes[i] = uint64(i*10 + o.random.IntN(10))
	}
	return hashes
}

func (o *oracle) event(q *trackedRequest) message.Input {
	switch o.random.IntN(12) {
	case 0:
		kinds := []errkind.Kind{errkind.TargetFailed, errkind.TargetRefused, errkind.PlatformUnavailable,
			errkind.InvariantViolated}
		in := message.AttemptFailed{Request: q.Request, Attempt: q.attempt, Kind: kinds[o.random.IntN(len(kinds))],
			Run: errkind.Unknown, NextPosition: q.position}
		if o.random.IntN(2) == 0 {
			in.Run = errkind.NotRun
		}
		q.mayHaveRun, q.attempt = q.mayHaveRun || in.Run != errkind.NotRun, ""
		return in
	case 1:
		return message.RequestCanceled{Request: q.Request}
	case 2:
		q.stuck = true
		return message.RequestCanceled{Request: "unknown"}
	case 3, 4:
		return message.AttemptFinished{Request: q.Request, Attempt: q.attempt, NextPosition: q.position}
	default:
		q.position += 1 + o.random.IntN(5)
		return message.AttemptProgressed{Request: q.Request, Attempt: q.attempt, NextPosition: q.position,
			Hops: []message.HopSample{{Target: "t0", Step: time.Duration(o.random.Int64N(1e8)), Next: "t1", Transfer: 1e6}}}
	}
}

func (o *oracle) check(command message.Command) {
	o.log = append(o.log, command)
	switch c := command.(type) {
	case message.StartAttempt:
		o.checkStart(c)
	case message.CancelAttempt:
		if q := o.openRequests[c.Request]; q != nil && q.attempt == c.Attempt {
			q.mayHaveRun, q.attempt = true, ""
		}
	case message.FinishRequest:
		o.recordOutcome(c.Request)
	case message.RefuseRequest:
		q := o.openRequests[c.Request]
		if q != nil && c.Run == errkind.NotRun && (q.mayHaveRun || q.attempt != "") {
			o.fail("request %s is refused as not run but may have run", c.Request)
		}
		o.recordOutcome(c.Request)
	case message.StopCompleted:
		if !o.stopping || len(o.openRequests) > 0 {
			o.fail("stop completed with %d requests in progress", len(o.openRequests))
		}
	}
}

func (o *oracle) recordOutcome(id entity.RequestID) {
	if o.openRequests[id] == nil {
		o.fail("request %s has a second outcome", id)
	}
	delete(o.openRequests, id)
}

func (o *oracle) checkStart(c message.StartAttempt) {
	q := o.openRequests[c.Request]
	if q == nil {
		o.fail("request %s is started after its outcome", c.Request)
		return
	}
	if !q.Idempotent && q.Kind == message.ServiceCall && (q.mayHaveRun || q.attempt != "") {
		o.fail("request %s may have run and is started again", c.Request)
	}
	if c.FromPosition != q.position {
		o.fail("request %s continues at position %d, want %d", c.Request, c.FromPosition, q.position)
	}
	q.attempt, q.stuck = c.Attempt, o.random.IntN(20) == 0
	o.running = append(o.running, q)
	o.checkChain(q, c.Chain)
}

func (o *oracle) checkChain(q *trackedRequest, chain entity.Chain) {
	layer := 0
	for _, hop := range chain {
		if o.listedLeaving[hop.Target] || o.markedLeaving(hop.Target) {
			o.fail("request %s is sent to leaving target %s", q.Request, hop.Target)
		}
		if q.Kind == message.Completion && hop.Layers.From != layer {
			o.fail("request %s: hop starts at layer %d, want %d", q.Request, hop.Layers.From, layer)
		}
		layer = hop.Layers.To
	}
	want := map[entity.ModelID]int{"m0": 12, "m1": 6}[q.Model]
	if q.Kind == message.Completion && layer != want {
		o.fail("request %s: chain ends at layer %d", q.Request, layer)
	}
}

func (o *oracle) markedLeaving(id entity.TargetID) bool {
	for _, mark := range o.config.Marks {
		if mark.ID == string(id) && mark.State == entity.LeaveMark {
			return true
		}
	}
	return false
}
