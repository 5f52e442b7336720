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

// operation is a call or lookup of one key with its verdict. An operation without a verdict, or whose verdict is
// that the outcome is unknown, may take effect at any later time.
type operation struct {
	attempt  entity.AttemptID
	lookup   bool
	from, to time.Duration
	ended    bool
	verdict  Verdict
}

// post starts a call at a process.
func (w *world) post(p *process, key string, ended func(Verdict)) {
	w.attempts++
	attempt := entity.AttemptID(fmt.Sprintf("%s.%d.%d", p.id, p.incarnation, w.attempts))
	call := Call{
		Daemon: p.id, Incarnation: p.incarnation, Attempt: attempt, RequestHash: "hash",
		Target: plainTarget, Deadline: w.clock().Add(10 * time.Second), Retention: time.Hour,
		Fences: func(id entity.TargetID) bool { return id == fencedTarget },
	}
	// Keys that begin with f go to the target that checks fencing numbers, with p to the other, with m to either.
	if key[0] == 'f' || (key[0] == 'm' && w.random.IntN(2) == 0) {
		call.Target, call.Fenced = fencedTarget, true
	}
	if w.chance(0.03) {
		call.RequestHash = "other hash"
	} else if w.network.Reliable && w.rows[key].Version != 0 {
		call.RequestHash = w.rows[key].Record.RequestHash
	}
	if w.chance(0.03) {
		call.Deadline = w.clock().Add(w.between(0, 100*time.Millisecond))
	}
	index := len(w.history[key])
	w.history[key] = append(w.history[key], operation{attempt: attempt, from: w.scheduler.Now()})
	w.logf(key, "post %s at %s as %s to %s", key, p.id, attempt, call.Target)
	p.attempts.Begin(attempt)
	machine := New(call)
	var handle func(Event)
	handle = func(event Event) {
		for _, action := range machine.Step(w.clock(), event) {
			switch a := action.(type) {
			case Write:
				w.write(p, key, a, handle)
			case Read:
				w.read(p, key, handle)
			case AskStatus:
				w.askStatus(p, a, handle)
			case Send:
				w.send(p, key, attempt, a, handle)
			case Abandon:
				p.attempts.Abandon(attempt)
			case Settle:
				w.settle(p, key, a.Outcome)
			case Finish:
				w.finish(key, index, a.Verdict)
				if w.sends[attempt] == 0 {
					p.attempts.End(attempt)
				}
				ended(a.Verdict)
			}
		}
	}
	handle(Started{})
}

func (w *world) settle(p *process, key string, outcome Outcome) {
	if outcome.State == Unknown {
		w.inDoubt[key] = true
	}
	if outcome.State == Done {
		w.answered[key] = p
	}
	settlement := NewSettlement(outcome, w.clock().Add(time.Hour), w.random)
	var handle func(Event)
	handle = func(event Event) {
		switch a := settlement.Step(w.clock(), event).(type) {
		case Write:
			w.write(p, key, a, handle)
		case Read:
			w.read(p, key, handle)
		case Wait:
			w.scheduler.RunIn(&p.Process, a.For, func() { handle(Woken{}) })
		case Settled:
			p.attempts.End(outcome.Row.Record.Attempt)
		}
	}
	handle(Started{})
}

func (w *world) finish(key string, index int, verdict Verdict) {
	op := &w.history[key][index]
	op.to, op.ended, op.verdict = w.scheduler.Now(), true, verdict
	w.logf(key, "verdict %s %s: %s %s result=%v", key, op.attempt, verdict.Kind, verdict.Run, verdict.Result != nil)
	if verdict.Result != nil {
		w.done++
		return
	}
	if verdict.Run == errkind.NotRun && !op.lookup {
		w.promised[op.attempt] = true
		if w.ledger[key].attempt == op.attempt {
			w.fail(key, "attempt %s ran, and its caller was told that it did not run", op.attempt)
		}
	}
}

// lookup asks for the outcome of a key at a process.
func (w *world) lookup(p *process, key string, ended func(Verdict)) {
	index := len(w.history[key])
	w.history[key] = append(w.history[key], operation{lookup: true, from: w.scheduler.Now()})
	finish := func(verdict Verdict) {
		w.finish(key, index, verdict)
		ended(verdict)
	}
	w.read(p, key, func(event Event) {
		read, ok := event.(RowRead)
		if !ok {
			finish(Verdict{Kind: errkind.PlatformUnavailable, Run: errkind.Unknown})
			return
		}
		if verdict, complete := Lookup(read.Row); complete {
			finish(verdict)
			return
		}
		ask := AskStatus{Daemon: read.Row.Record.Daemon, Attempt: read.Row.Record.Attempt}
		w.askStatus(p, ask, func(event Event) { finish(LookupStatus(w.clock(), read.Row, event)) })
	})
}

// arrive starts calls with new and recent keys, often several with the same key at once.
func (w *world) arrive() {
	if w.network.Reliable {
		return
	}
	number := w.attempts / 8
	key := fmt.Sprintf("%c%d", "fpm"[number%3], max(0, number-w.random.IntN(3)))
	for range 1 + w.random.IntN(2) {
		p := w.processes[w.random.IntN(len(w.processes))]
		w.scheduler.RunIn(&p.Process, w.between(0, 10*time.Millisecond), func() {
			if w.random.IntN(8) == 0 {
				w.lookup(p, key, func(Verdict) {})
				return
			}
			w.post(p, key, func(Verdict) {})
		})
	}
	w.scheduler.After(w.between(0, 2*time.Second), w.arrive)
}

// state of the porcupine model: whether the key has run, and its response.
type keyState struct {
	ran      bool
	response string
}

// model is the sequential specification of one key. The input is the response of the execution by this attempt, or
// empty if the ledger shows none.
var model = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, ran, op := state.(keyState), input.(string), output.(operation)
		if ran != "" {
			if s.ran {
				return false, s
			}
			s = keyState{ran: true, response: ran}
		}
		switch {
		case op.ended && op.verdict.Result != nil:
			return s.ran && s.response == string(op.verdict.Result.Inline), s
		case op.ended && op.verdict.Run == errkind.NotRun && op.verdict.Kind == errkind.TargetRefused:
			// A refusal by the target and a lookup speak of the key, other refusals of one call only.
			return !s.ran, s
		}
		return true, s
	},
}

func (w *world) checkHistory(key string) {
	var operations []porcupine.Operation
	for i, op := range w.history[key] {
		to := int64(op.to)
		if !op.ended || op.verdict.Kind != "" && op.verdict.Run == errkind.Unknown {
			to = math.MaxInt64
		}
		ran := ""
		if w.ledger[key].attempt == op.attempt && !op.lookup {
			ran = w.ledger[key].response
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: ran, Output: op, Call: int64(op.from), Return: to,
		})
	}
	if !porcupine.CheckOperations(model, operations) {
		w.fail(key, "history of %s is not linearizable: %+v", key, w.history[key])
	}
}

// settleAll ends all faults and checks that every key reaches the outcome it must.
func (w *world) settleAll() {
	w.heal()
	for w.failed == "" && w.scheduler.Step() {
	}
	for key, p := range w.answered {
		if !p.Dead && w.rows[key].Record.State != Done {
			w.fail(key, "%s received the response of %s, which is not stored: %+v", p.id, key, w.rows[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(w.history)) {
		w.post(w.processes[0], key, func(v Verdict) { w.checkFinal(key, v) })
		for w.failed == "" && w.scheduler.Step() {
		}
		w.checkHistory(key)
	}
}

// checkFinal checks the verdict on a key when nothing disturbs the system any more. Only a key at a target that
// ignores fencing numbers can stay unknown, and only if a process died or a send was lost.
func (w *world) checkFinal(key string, verdict Verdict) {
	if verdict.Result != nil {
		return
	}
	row := w.rows[key].Record
	mayStayUnknown := w.inDoubt[key] && !row.Fenced
	if verdict.Kind == errkind.OutcomeUnknown && mayStayUnknown || row.Fenced && row.Target != fencedTarget {
		return
	}
	w.fail(key, "key %s stays %s after all faults have ended; row %+v", key, verdict.Kind, row)
}

// defaultSteps is smaller under -short, which is used with the race detector.
func defaultSteps() uint64 {
	if testing.Short() {
		return 200_000
	}
	return 2_000_000
}

// TestRandomisedPosting guards against a key that runs twice, a false "not run" and a wrong stored outcome, under
// pauses, deaths, restarts, partitions, outages, lost responses and late writes. It runs HYSSOPHOIST_STEPS events
// in worlds of 20,000 events; the first world has the seed HYSSOPHOIST_SEED, the next one more.
func TestRandomisedPosting(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), int(testenv.Steps(t, defaultSteps()))
	begin := time.Now()
	var total world
	done := 0
	for world := seed; done < steps; world++ {
		w := newWorld(world)
		w.scheduler.After(0, w.arrive)
		w.scheduler.After(0, w.disturb)
		for w.scheduler.Steps() < min(20_000, steps-done) && w.failed == "" && w.scheduler.Step() {
		}
		w.settleAll()
		if w.failed != "" {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: %s\n%s", world, w.scheduler.Steps(), w.failed,
				w.shortTrace())
		}
		done += w.scheduler.Steps()
		total.done += w.done
		total.attempts += w.attempts
		total.lateClaims += w.lateClaims
		total.takeovers += w.takeovers
		total.stale += w.stale
	}
	t.Logf("%d steps, %d calls, %d responses, %d late claims, %d takeovers, %d stale sends in %v", done,
		total.attempts, total.done, total.lateClaims, total.takeovers, total.stale, time.Since(begin))
	if total.lateClaims == 0 || total.takeovers == 0 || total.stale == 0 {
		t.Errorf("the run did not cover late claims, takeovers and stale sends")
	}
}
