package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	// maxLateRequests is the users' bound on the requests that reach a target between lateAfter after it has asked for
	// time and the end of that time.
	maxLateRequests = 2
	lateAfter       = 500 * time.Millisecond
	// maxTravelTime is below lateAfter, so that requests that were sent before the refusal arrived are not late.
	maxTravelTime   = 200 * time.Millisecond
	maxServiceTime  = 1500 * time.Millisecond
	playTime        = time.Minute
	stepsPerPlay    = 4000
	simulatedTarget = 3
)

// TestBackoffEnds checks the state of a target that asked for time: it gets nothing in that time, one attempt at a time
// afterwards, and all attempts once it has responded to one that was sent after that time.
func TestBackoffEnds(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	state := f.Get("t1")
	if _, changed := f.RecordBackoff(start, "t1", 1, time.Second); !changed {
		t.Error("first refusal is not reported as a change")
	}
	if until, changed := f.RecordBackoff(start, "t1", 1, time.Millisecond); changed || until != start.Add(time.Second) {
		t.Errorf("a shorter time changes the belief to %v", until)
	}
	early := start.Add(time.Second - 1)
	if chosen, backedOff := f.ChoosePlain(early, "s", "a", nil); !state.BacksOff(early) || chosen != nil || !backedOff {
		t.Error("target is used in the time that it asked for")
	}
	end := start.Add(time.Second)
	if state.BacksOff(end) || !state.AcceptsAttempt(end) {
		t.Error("target is not used after the time that it asked for")
	}
	first, second := state.Target, state.Target
	state.BeginAttempt(&first)
	if state.AcceptsAttempt(end) {
		t.Error("target gets a second attempt before it has responded to the first")
	}
	if f.RecordResponse("t1", 1, start); state.AcceptsAttempt(end) {
		t.Error("a response to an attempt that was sent before the refusal ends the recovery")
	}
	f.EndAttempt(&second)
	if state.AcceptsAttempt(end) {
		t.Error("the end of an earlier attempt lets a second one through")
	}
	f.EndAttempt(&first)
	if !state.AcceptsAttempt(end) {
		t.Error("no attempt follows one that ended without a response")
	}
	state.BeginAttempt(&second)
	if !f.RecordResponse("t1", 1, end) || !state.AcceptsAttempt(end) {
		t.Error("a response does not end the recovery")
	}
}

// TestBackoffOfProcess checks that the time is bounded, counts for one process only, and is ignored if it comes from an
// earlier one.
func TestBackoffOfProcess(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	if until, _ := f.RecordBackoff(start, "t1", 1, 1<<62); until != start.Add(MaxBackoff) {
		t.Errorf("a huge time lasts until %v", until)
	}
	restarted := plainTarget("t1", "a")
	restarted.Born = 2
	f.Put(restarted)
	if !f.Get("t1").AcceptsAttempt(start) {
		t.Error("a new process is affected by what the earlier one asked for")
	}
	if _, changed := f.RecordBackoff(start, "t1", 1, time.Second); changed || f.Get("t1").BacksOff(start) {
		t.Error("a late response of the earlier process affects the new one")
	}
}

// TestBackoffOfRelistedTarget checks that a process whose entry expired and is listed again still gets the time that it
// asked for, also if its response arrives in between, and that another process does not.
func TestBackoffOfRelistedTarget(t *testing.T) {
	for _, test := range []struct {
		name       string
		askedAfter bool
		born       int64
		backsOff   bool
	}{{"same process", false, 1, true}, {"late response", true, 1, true}, {"new process", false, 2, false}} {
		f := New()
		f.Put(plainTarget("t1", "a"))
		if !test.askedAfter {
			f.RecordBackoff(start, "t1", 1, time.Second)
		}
		f.Remove(start, "t1", Removal{})
		if test.askedAfter {
			f.RecordBackoff(start, "t1", 1, time.Second)
		}
		listed := plainTarget("t1", "a")
		listed.Born = test.born
		f.Put(listed)
		if got := f.Get("t1").BacksOff(start); got != test.backsOff {
			t.Errorf("%s: backs off %v", test.name, got)
		}
		if !f.Get("t1").AcceptsAttempt(start.Add(time.Second)) {
			t.Errorf("%s: no attempt after the end", test.name)
		}
	}
}

// TestAllBackOff checks that all targets in service must have asked for time, and which of their times is returned.
func TestAllBackOff(t *testing.T) {
	f := New()
	f.Put(plainTarget("t1", "a"))
	f.Put(plainTarget("t2", "a"))
	everyTarget := func(*State) bool { return true }
	f.RecordBackoff(start, "t1", 1, 3*time.Second)
	if _, all := f.AllBackOff(start, everyTarget); all {
		t.Error("one target accepts attempts")
	}
	f.RecordBackoff(start, "t2", 1, 2*time.Second)
	if left, all := f.AllBackOff(start.Add(time.Second), everyTarget); !all || left != time.Second {
		t.Errorf("both asked: %v, %v", left, all)
	}
	if _, all := f.AllBackOff(start, func(*State) bool { return false }); all {
		t.Error("no target counts as all of them")
	}
}

// refusal is a response by which a process of a target asked for time.
type refusal struct {
	born         int64
	at, end      time.Time
	lateRequests int
}

// simulatedAttempt is an attempt in progress. It reaches its target at arrivesAt and its response arrives at respondsAt.
type simulatedAttempt struct {
	reservation                    *Target
	sentAt, arrivesAt, respondedAt time.Time
	arrived, refused               bool
	asked                          time.Duration
}

// backoffPlay plays calls, report requests, refusals and restarts of targets against a fleet.
type backoffPlay struct {
	random     *rand.Rand
	fleet      *Fleet
	now        time.Time
	attempts   []*simulatedAttempt
	overloaded map[entity.TargetID]bool
	refusals   map[entity.TargetID][]*refusal
	// expired holds the entries that expired.
	expired map[entity.TargetID]Target
	err     error
	late    int
}

func newBackoffPlay(random *rand.Rand) *backoffPlay {
	p := &backoffPlay{
		random: random, fleet: New(), now: start, overloaded: make(map[entity.TargetID]bool),
		refusals: make(map[entity.TargetID][]*refusal), expired: make(map[entity.TargetID]Target),
	}
	for i := range simulatedTarget {
		target := plainTarget(entity.TargetID(fmt.Sprint(i)), "a")
		target.Card = "card"
		p.fleet.Put(target)
	}
	return p
}

// reach records that a request reaches the process of a target at time at.
func (p *backoffPlay) reach(target Target, at time.Time) {
	for _, r := range p.refusals[target.ID] {
		if r.born == target.Born && at.After(r.at.Add(lateAfter)) && at.Before(r.end) {
			r.lateRequests++
			p.late++
			if r.lateRequests > maxLateRequests && p.err == nil {
				p.err = fmt.Errorf("target %s got %d late requests within %v", target.ID, r.lateRequests, r.end.Sub(r.at))
			}
		}
	}
}

// send begins attempts as a dispatcher does.
func (p *backoffPlay) send() {
	state, _ := p.fleet.ChoosePlain(p.now, "s", "a", nil)
	if state == nil {
		return
	}
	state.InProgress++
	reservation := state.Target
	p.checkOneAttempt(state)
	state.BeginAttempt(&reservation)
	arrives := p.now.Add(time.Duration(p.random.Int64N(int64(maxTravelTime))))
	p.attempts = append(p.attempts, &simulatedAttempt{
		reservation: &reservation, sentAt: p.now, arrivesAt: arrives,
		respondedAt: arrives.Add(time.Duration(p.random.Int64N(int64(maxServiceTime)))),
	})
}

// checkOneAttempt checks that no other attempt that was sent after the end of the last time is in progress while the
// target has not responded since.
func (p *backoffPlay) checkOneAttempt(state *State) {
	if !state.backoff.recovering {
		return
	}
	for _, other := range p.attempts {
		if other.reservation.ID == state.ID && other.reservation.Born == state.Born &&
			!other.sentAt.Before(state.backoff.until) && p.err == nil {
			p.err = fmt.Errorf("target %s got a second attempt before it responded", state.ID)
		}
	}
}

// progress lets attempts arrive and responses return.
func (p *backoffPlay) progress() {
	kept := p.attempts[:0]
	for _, a := range p.attempts {
		if !a.arrived && !a.arrivesAt.After(p.now) {
			p.arrive(a)
		}
		if a.respondedAt.After(p.now) {
			kept = append(kept, a)
			continue
		}
		p.respond(a)
	}
	p.attempts = kept
}

func (p *backoffPlay) arrive(a *simulatedAttempt) {
	a.arrived = true
	p.reach(*a.reservation, a.arrivesAt)
	a.refused = p.overloaded[a.reservation.ID]
	if a.refused {
		a.respondedAt = a.arrivesAt
		a.asked = time.Duration(1 + p.random.Int64N(int64(6*time.Second)))
		if p.random.IntN(20) == 0 {
			a.asked = time.Hour
		}
	}
}

func (p *backoffPlay) respond(a *simulatedAttempt) {
	target := a.reservation
	switch {
	case a.refused:
		p.fleet.RecordBackoff(p.now, target.ID, target.Born, a.asked)
		p.refusals[target.ID] = append(p.refusals[target.ID],
			&refusal{born: target.Born, at: p.now, end: p.now.Add(min(a.asked, MaxBackoff))})
	case p.random.IntN(8) > 0: // else the connection breaks
		p.fleet.RecordResponse(target.ID, target.Born, a.sentAt)
	}
	if state := p.fleet.Get(target.ID); state != nil && state.Born == target.Born {
		state.InProgress = max(0, state.InProgress-1)
	}
	p.fleet.EndAttempt(target)
}

// probe sends the report requests that are due.
func (p *backoffPlay) probe() {
	due := p.fleet.DueProbes(p.now, ProbePolicy{Interval: 100 * time.Millisecond, ForZone: true})
	for _, target := range append(due, p.fleet.SlowTargets(p.now)...) {
		p.reach(target, p.now)
	}
}

// disturb changes the state of a target.
func (p *backoffPlay) disturb() {
	id := entity.TargetID(fmt.Sprint(p.random.IntN(simulatedTarget)))
	state := p.fleet.Get(id)
	if state == nil { // the entry that expired is written again
		p.fleet.Put(p.expired[id])
		return
	}
	switch p.random.IntN(9) {
	case 0:
		restarted := state.Target
		restarted.Born++
		p.fleet.Put(restarted)
		state.InProgress = 0
	case 1:
		p.fleet.RecordNoAnswer(p.now, id, 2*time.Second)
	case 2:
		p.fleet.RecordReport(p.now, id, Report{Born: state.Born, Slowdown: 2 * slowThreshold})
	case 3:
		p.fleet.RecordFailure(p.now, id)
	case 4: // the entry expires
		p.expired[id] = state.Target
		p.fleet.Remove(p.now, id, Removal{})
	default:
		p.overloaded[id] = !p.overloaded[id]
	}
}

// recovers lets all targets serve again and reports whether each gets attempts.
func (p *backoffPlay) recovers() bool {
	clear(p.overloaded)
	for id, target := range p.expired {
		if p.fleet.Get(id) == nil {
			p.fleet.Put(target)
		}
	}
	p.now = p.now.Add(MaxBackoff + maxTravelTime + maxServiceTime)
	p.progress()
	p.now = p.now.Add(MaxBackoff + maxTravelTime + maxServiceTime)
	p.progress()
	for _, state := range p.fleet.All {
		if !state.AcceptsAttempt(p.now) {
			return false
		}
	}
	return true
}

// TestRandomisedBackoff guards against more requests than the users' bound that reach a target in the time that it asked
// for, against several attempts at once after it, and against targets that get none any more.
func TestRandomisedBackoff(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 200_000)
	random := rand.New(rand.NewPCG(seed, 0))
	refusals, late := 0, 0
	for done := uint64(0); done < steps; done += stepsPerPlay {
		p := newBackoffPlay(random)
		for range stepsPerPlay {
			p.now = p.now.Add(time.Duration(1 + random.Int64N(2*int64(playTime)/stepsPerPlay)))
			p.progress()
			for range random.IntN(4) {
				p.send()
			}
			if random.IntN(4) == 0 {
				p.probe()
			}
			if random.IntN(40) == 0 {
				p.disturb()
			}
		}
		for _, of := range p.refusals {
			refusals += len(of)
		}
		late += p.late
		if p.err == nil && !p.recovers() {
			p.err = fmt.Errorf("a target gets no attempts although it serves")
		}
		if p.err != nil {
			t.Fatalf("%v; HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d", p.err, seed, steps)
		}
	}
	if refusals == 0 {
		t.Error("no target asked for time")
	}
	t.Logf("%d refusals, %d late requests", refusals, late)
}
