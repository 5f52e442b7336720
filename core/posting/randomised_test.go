package posting

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// operation is a call or lookup of one key with its answer. An operation that has no answer, or whose answer is that
// the outcome is unknown, may take effect at any later time.
type operation struct {
	attempt              entity.AttemptID
	lookup               bool
	callTime, returnTime time.Duration
	ended                bool
	answer               Answer
}

// startCall starts a call at a process.
func (s *simulation) startCall(p *process, key string, ended func(Answer)) {
	s.attempts++
	attempt := entity.AttemptID(fmt.Sprintf("%s.%d.%d", p.id, p.incarnation, s.attempts))
	call := Call{
		Daemon: p.id, Incarnation: p.incarnation, Attempt: attempt, RequestHash: "hash",
		Target: unfencedTarget, Deadline: s.clock().Add(10 * time.Second), Retention: time.Hour,
		CanResendTo: func(id entity.TargetID) bool { return id == fencedTarget },
	}
	// Keys that begin with f go to the target that checks fencing numbers, those with p to the other, and those with
	// m to either.
	if key[0] == 'f' || (key[0] == 'm' && s.random.IntN(2) == 0) {
		call.Target, call.Fenced = fencedTarget, true
	}
	if s.chance(0.03) {
		call.RequestHash = "other hash"
	} else if s.network.Reliable && s.rows[key].Version != 0 {
		call.RequestHash = s.rows[key].Record.RequestHash
	}
	if s.chance(0.03) {
		call.Deadline = s.clock().Add(s.between(0, 100*time.Millisecond))
	}
	index := len(s.history[key])
	s.history[key] = append(s.history[key], operation{attempt: attempt, callTime: s.scheduler.Now()})
	s.logf(key, "call %s at %s as %s to %s", key, p.id, attempt, call.Target)
	p.attempts.Begin(attempt)
	machine := New(call)
	var handle func(Event)
	handle = func(event Event) {
		for _, action := range machine.Step(s.clock(), event) {
			switch a := action.(type) {
			case Write:
				s.write(p, key, a, handle)
			case Read:
				s.read(p, key, handle)
			case AskStatus:
				s.askStatus(p, a, handle)
			case Send:
				s.send(p, key, attempt, a, handle)
			case Abandon:
				p.attempts.Abandon(attempt)
			case StoreOutcome:
				s.storeOutcome(p, key, a.Outcome)
			case Finish:
				s.recordAnswer(key, index, a.Answer)
				if s.sends[attempt] == 0 {
					p.attempts.End(attempt)
				}
				ended(a.Answer)
			}
		}
	}
	handle(Started{})
}

func (s *simulation) storeOutcome(p *process, key string, outcome Outcome) {
	if outcome.State == StateUnknown {
		s.inDoubt[key] = true
	}
	if outcome.State == StateDone {
		s.responseReceiver[key] = p
	}
	writer := NewOutcomeWriter(outcome, s.clock().Add(time.Hour), s.random)
	var handle func(Event)
	handle = func(event Event) {
		switch a := writer.Step(s.clock(), event).(type) {
		case Write:
			s.write(p, key, a, handle)
		case Read:
			s.read(p, key, handle)
		case Wait:
			s.scheduler.RunIn(&p.Process, a.For, func() { handle(WaitEnded{}) })
		case StopWriter:
			p.attempts.End(outcome.Row.Record.Attempt)
		}
	}
	handle(Started{})
}

func (s *simulation) recordAnswer(key string, index int, answer Answer) {
	op := &s.history[key][index]
	op.returnTime, op.ended, op.answer = s.scheduler.Now(), true, answer
	s.logf(key, "answer %s %s: %s %s result=%v", key, op.attempt, answer.Kind, answer.Run, answer.Result != nil)
	if answer.Result != nil {
		s.responses++
		return
	}
	if answer.Run == errkind.NotRun && !op.lookup {
		s.toldNotRun[op.attempt] = true
		if s.ledger[key].attempt == op.attempt {
			s.fail(key, "attempt %s ran, and its caller was told that it did not run", op.attempt)
		}
	}
}

// startLookup asks for the outcome of a key at a process.
func (s *simulation) startLookup(p *process, key string, ended func(Answer)) {
	index := len(s.history[key])
	s.history[key] = append(s.history[key], operation{lookup: true, callTime: s.scheduler.Now()})
	done := func(answer Answer) {
		s.recordAnswer(key, index, answer)
		ended(answer)
	}
	s.read(p, key, func(event Event) {
		read, ok := event.(RowRead)
		if !ok {
			done(Answer{Kind: errkind.PlatformUnavailable, Run: errkind.Unknown})
			return
		}
		if answer, complete := Lookup(read.Row); complete {
			done(answer)
			return
		}
		ask := AskStatus{Daemon: read.Row.Record.Daemon, Attempt: read.Row.Record.Attempt}
		s.askStatus(p, ask, func(event Event) { done(LookupStatus(s.clock(), read.Row, event)) })
	})
}

// startRandomCalls starts calls and lookups of new and recent keys, often several for the same key at once.
func (s *simulation) startRandomCalls() {
	if s.network.Reliable {
		return
	}
	number := s.attempts / 8
	key := fmt.Sprintf("%c%d", "fpm"[number%3], max(0, number-s.random.IntN(3)))
	for range 1 + s.random.IntN(2) {
		p := s.processes[s.random.IntN(len(s.processes))]
		s.scheduler.RunIn(&p.Process, s.between(0, 10*time.Millisecond), func() {
			if s.random.IntN(8) == 0 {
				s.startLookup(p, key, func(Answer) {})
				return
			}
			s.startCall(p, key, func(Answer) {})
		})
	}
	s.scheduler.After(s.between(0, 2*time.Second), s.startRandomCalls)
}

// keyState is the state of the porcupine model: whether the key has run, and its response.
type keyState struct {
	ran      bool
	response string
}

// model is the sequential specification of one key. The input is the response of the execution by this attempt, or
// empty if the ledger has none.
var model = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, response, op := state.(keyState), input.(string), output.(operation)
		if response != "" {
			if s.ran {
				return false, s
			}
			s = keyState{ran: true, response: response}
		}
		switch {
		case op.ended && op.answer.Result != nil:
			return s.ran && s.response == string(op.answer.Result.Inline), s
		case op.ended && op.answer.Run == errkind.NotRun && op.answer.Kind == errkind.TargetRefused:
			// NotRun with TargetRefused, also from a lookup, means that the key has not run. With other errors, NotRun
			// concerns one call only.
			return !s.ran, s
		}
		return true, s
	},
}

func (s *simulation) checkHistory(key string) {
	var operations []porcupine.Operation
	for i, op := range s.history[key] {
		returnTime := int64(op.returnTime)
		if !op.ended || op.answer.Kind != "" && op.answer.Run == errkind.Unknown {
			returnTime = math.MaxInt64
		}
		response := ""
		if s.ledger[key].attempt == op.attempt && !op.lookup {
			response = s.ledger[key].response
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: response, Output: op, Call: int64(op.callTime), Return: returnTime,
		})
	}
	if !porcupine.CheckOperations(model, operations) {
		s.fail(key, "history of %s is not linearizable: %+v", key, s.history[key])
	}
}

// checkConvergence ends all faults and checks that every key reaches its expected outcome.
func (s *simulation) checkConvergence() {
	s.endFaults()
	for s.failure == "" && s.scheduler.Step() {
	}
	for key, p := range s.responseReceiver {
		if !p.Dead && s.rows[key].Record.State != StateDone {
			s.fail(key, "%s received the response of %s, which is not stored: %+v", p.id, key, s.rows[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.history)) {
		s.startCall(s.processes[0], key, func(answer Answer) { s.checkFinalAnswer(key, answer) })
		for s.failure == "" && s.scheduler.Step() {
		}
		s.checkHistory(key)
	}
}

// checkFinalAnswer checks the answer for a key after all faults have ended. Only a key at a target that ignores fencing
// numbers can stay unknown, and only if a process crashed or the result of a send was lost.
func (s *simulation) checkFinalAnswer(key string, answer Answer) {
	if answer.Result != nil {
		return
	}
	row := s.rows[key].Record
	mayStayUnknown := s.inDoubt[key] && !row.Fenced
	if answer.Kind == errkind.OutcomeUnknown && mayStayUnknown || row.Fenced && row.Target != fencedTarget {
		return
	}
	s.fail(key, "key %s stays %s after all faults have ended; row %+v", key, answer.Kind, row)
}

// defaultSteps is smaller under -short, which is used with the race detector.
func defaultSteps() uint64 {
	if testing.Short() {
		return 200_000
	}
	return 2_000_000
}

// TestRandomisedPosting guards against a key that runs twice, a key that ran but is reported as not run, and a wrong
// stored outcome, under pauses, crashes, restarts, partitions, outages, lost responses and late writes. It runs
// HYSSOPHOIST_STEPS events in simulations of 20,000 events. The first has the seed HYSSOPHOIST_SEED, each further one
// the next seed.
func TestRandomisedPosting(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), int(testenv.Steps(t, defaultSteps()))
	start := time.Now()
	var total simulation
	stepsDone := 0
	for runSeed := seed; stepsDone < steps; runSeed++ {
		s := newSimulation(runSeed)
		s.scheduler.After(0, s.startRandomCalls)
		s.scheduler.After(0, s.injectFault)
		for s.scheduler.Steps() < min(20_000, steps-stepsDone) && s.failure == "" && s.scheduler.Step() {
		}
		s.checkConvergence()
		if s.failure != "" {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: %s\n%s", runSeed, s.scheduler.Steps(), s.failure,
				s.failureTrace())
		}
		stepsDone += s.scheduler.Steps()
		total.responses += s.responses
		total.attempts += s.attempts
		total.lateClaims += s.lateClaims
		total.takeovers += s.takeovers
		total.staleSends += s.staleSends
	}
	t.Logf("%d steps, %d calls, %d responses, %d late claims, %d takeovers, %d stale sends in %v", stepsDone,
		total.attempts, total.responses, total.lateClaims, total.takeovers, total.staleSends, time.Since(start))
	if total.lateClaims == 0 || total.takeovers == 0 || total.staleSends == 0 {
		t.Errorf("the run did not cover late claims, takeovers and stale sends")
	}
}
