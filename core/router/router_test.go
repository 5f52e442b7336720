package router

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func twoStageConfiguration(version uint64, marks ...entity.Mark) message.ConfigurationChanged {
	engine := func(id entity.TargetID, from, to int) entity.Target {
		return entity.Target{ID: id, Kind: entity.EngineTarget, Zone: "z1", Model: "m",
			Layers: entity.LayerRange{From: from, To: to}}
	}
	return message.ConfigurationChanged{Configuration: &entity.Configuration{Version: version, Marks: marks,
		Preset: entity.Preset{
			Models:   []entity.Model{{ID: "m", Layers: 8}},
			Services: []entity.Service{{ID: "s", TimeoutSeconds: 2}},
			Targets: []entity.Target{engine("a1", 0, 4), engine("a2", 0, 4), engine("b1", 4, 8), engine("b2", 4, 8),
				{ID: "s1", Kind: entity.ServiceTarget, Service: "s", Zone: "z1"}},
			Accounts: []entity.Account{{ID: "acc", Weight: 1}},
		}}}
}

func newTestRouter(t *testing.T) *Router {
	return New(Options{Daemon: "d", Zone: "z1", Seed: 1, OnViolation: func(v Violation) {
		t.Errorf("invariant %s: %s", v.Invariant, v.Message)
	}})
}

func newRequest(id entity.RequestID) message.RequestArrived {
	return message.RequestArrived{Request: id, Account: "acc", Model: "m", PromptTokens: 10, MaxTokens: 10,
		Deadline: testStart.Add(time.Minute)}
}

func onlyCommand[C message.Command](t *testing.T, commands []message.Command) C {
	t.Helper()
	var found []C
	for _, command := range commands {
		if c, ok := command.(C); ok {
			found = append(found, c)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d commands of type %T in %v, want 1", len(found), *new(C), commands)
	}
	return found[0]
}

// Guards against a stalled stream that is not moved to other targets or restarts at position 0, and against events of
// its canceled attempt that still have an effect.
func TestStalledStreamContinuesElsewhere(t *testing.T) {
	r := newTestRouter(t)
	first := onlyCommand[message.StartAttempt](t,
		r.Step(testStart, []message.Input{twoStageConfiguration(1), newRequest("r")}))
	if end := newRequest("r").Deadline; !first.Deadline.Before(end) || end.Sub(first.Deadline) > time.Second {
		t.Errorf("deadline of the attempt is %v with a request deadline of %v, want up to 1 s less", first.Deadline, end)
	}
	r.Step(testStart.Add(100*time.Millisecond), []message.Input{
		message.AttemptProgressed{Request: "r", Attempt: first.Attempt, NextPosition: 4}})
	commands := r.Step(testStart.Add(5*time.Second), nil)
	if c := onlyCommand[message.CancelAttempt](t, commands); !c.ReplaceConnection {
		t.Error("connection of the stalled attempt is not replaced")
	}
	second := onlyCommand[message.StartAttempt](t, commands)
	if second.FromPosition != 4 ||
		second.Chain[0].Target == first.Chain[0].Target && second.Chain[1].Target == first.Chain[1].Target {
		t.Errorf("second attempt %+v does not continue at position 4 on another chain than first %+v", second, first)
	}
	// A late event of the first attempt has no effect.
	if late := r.Step(testStart.Add(5010*time.Millisecond), []message.Input{
		message.AttemptFinished{Request: "r", Attempt: first.Attempt}}); len(late) != 0 {
		t.Errorf("commands after a late event: %v", late)
	}
	onlyCommand[message.FinishRequest](t, r.Step(testStart.Add(5020*time.Millisecond), []message.Input{
		message.AttemptFinished{Request: "r", Attempt: second.Attempt, NextPosition: 10}}))
}

// Guards against a stream whose attempts are used up at a target that failed while the only other one has stalled.
func TestStalledTargetIsPreferredToFailedTarget(t *testing.T) {
	for seed := range uint64(20) {
		r := New(Options{Daemon: "d", Zone: "z1", Seed: seed})
		step := func(at time.Duration, inputs ...message.Input) []message.Command {
			return r.Step(testStart.Add(at), inputs)
		}
		first := onlyCommand[message.StartAttempt](t,
			step(0, twoStageConfiguration(1, entity.Mark{ID: "a2", State: entity.LeaveMark}), newRequest("r")))
		step(100*time.Millisecond, message.AttemptProgressed{Request: "r", Attempt: first.Attempt, NextPosition: 4})
		second := onlyCommand[message.StartAttempt](t, step(110*time.Millisecond, message.AttemptFailed{Request: "r",
			Attempt: first.Attempt, Kind: errkind.TargetFailed, Run: errkind.Unknown, Target: first.Chain[1].Target,
			NextPosition: 4}))
		step(200*time.Millisecond, message.AttemptProgressed{Request: "r", Attempt: second.Attempt, NextPosition: 5})
		commands := append(step(5*time.Second), step(7*time.Second)...)
		if third := onlyCommand[message.StartAttempt](t, commands); third.Chain[1].Target != second.Chain[1].Target {
			t.Errorf("seed %d: the third attempt uses %s, which failed, instead of %s, which stalled", seed,
				third.Chain[1].Target, second.Chain[1].Target)
		}
	}
}

// Guards against a second run of a non-idempotent request, and against a request that is refused although the target
// reported that it did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, run := range []errkind.RunOutcome{errkind.NotRun, errkind.Unknown} {
		r := newTestRouter(t)
		call := message.RequestArrived{Request: "p", Account: "acc", Kind: message.ServiceCall, Service: "s",
			Deadline: testStart.Add(time.Minute)}
		first := onlyCommand[message.StartAttempt](t, r.Step(testStart, []message.Input{twoStageConfiguration(1), call}))
		commands := r.Step(testStart.Add(time.Millisecond), []message.Input{message.AttemptFailed{
			Request: "p", Attempt: first.Attempt, Kind: errkind.TargetFailed, Run: run}})
		commands = append(commands, r.Step(testStart.Add(time.Second), nil)...)
		if run == errkind.NotRun {
			onlyCommand[message.StartAttempt](t, commands)
		} else if c := onlyCommand[message.RefuseRequest](t, commands); c.Run != errkind.Unknown {
			t.Errorf("refused with run outcome %s, want unknown", c.Run)
		}
	}
}

// Guards against new attempts on a leaving target, and against a configuration that replaces one of a higher version.
func TestLeavingTargetGetsNoNewAttempt(t *testing.T) {
	r := newTestRouter(t)
	r.Step(testStart, []message.Input{twoStageConfiguration(2, entity.Mark{ID: "a1", State: entity.LeaveMark}),
		twoStageConfiguration(1)})
	r.Step(testStart, []message.Input{message.InstancesListed{Instances: []message.ListedInstance{
		{ID: "b2", State: message.InstanceLeaving}}}})
	for i := range 20 {
		c := onlyCommand[message.StartAttempt](t,
			r.Step(testStart, []message.Input{newRequest(entity.RequestID(rune('a' + i)))}))
		if c.Chain[0].Target != "a2" || c.Chain[1].Target != "b1" {
			t.Fatalf("chain %v uses a leaving target", c.Chain)
		}
	}
	if r.Status().Version != 2 {
		t.Errorf("version %d in force, want 2", r.Status().Version)
	}
}

// Guards against a stop that cuts off requests in progress or accepts new ones.
func TestStopWaitsForRequests(t *testing.T) {
	r := newTestRouter(t)
	first := onlyCommand[message.StartAttempt](t,
		r.Step(testStart, []message.Input{twoStageConfiguration(1), newRequest("r")}))
	commands := r.Step(testStart.Add(time.Millisecond), []message.Input{message.StopRequested{}, newRequest("late")})
	if c := onlyCommand[message.RefuseRequest](t, commands); c.Kind != errkind.Stopping || c.Run != errkind.NotRun {
		t.Errorf("request during the stop: got refusal %+v, want kind stopping and not run", c)
	}
	commands = r.Step(testStart.Add(2*time.Millisecond), []message.Input{
		message.AttemptFinished{Request: "r", Attempt: first.Attempt, NextPosition: 10}})
	onlyCommand[message.StopCompleted](t, commands)
}

// Guards against requests that wait until their deadline after their model or service was removed or lost its targets.
func TestWaitingRequestRefusedAfterRemoval(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.UnknownModel, errkind.UnknownService, errkind.NoCapacity} {
		r := newTestRouter(t)
		arrival := message.RequestArrived{Request: "r", Account: "acc", Model: "m", PromptTokens: 10, MaxTokens: 10,
			Idempotent: true, Deadline: testStart.Add(time.Minute)}
		if kind == errkind.UnknownService {
			arrival.Kind, arrival.Service = message.ServiceCall, "s"
		}
		first := onlyCommand[message.StartAttempt](t, r.Step(testStart, []message.Input{twoStageConfiguration(1), arrival}))
		r.Step(testStart.Add(time.Millisecond), []message.Input{message.AttemptFailed{Request: "r", Attempt: first.Attempt,
			Kind: errkind.TargetFailed, Run: errkind.NotRun, RetryAfter: 10 * time.Second}})
		changed := twoStageConfiguration(2)
		preset := &changed.Configuration.Preset
		switch kind {
		case errkind.UnknownModel:
			preset.Models = nil
		case errkind.UnknownService:
			preset.Services = nil
		default:
			preset.Targets = preset.Targets[:2]
		}
		commands := r.Step(testStart.Add(2*time.Millisecond), []message.Input{changed})
		if c := onlyCommand[message.RefuseRequest](t, commands); c.Kind != kind || c.Run != errkind.NotRun {
			t.Errorf("refused with %s, run outcome %s, want %s, not run", c.Kind, c.Run, kind)
		}
	}
}
