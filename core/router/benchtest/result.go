package benchtest

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/router"
)

// AccountWork is the work of one client account, in work units. It covers the requests that were sent after the warm-up
// and whose deadline is within the run.
type AccountWork struct {
	// Offered is the work of all these requests, Good that of the requests completed within their deadline.
	Offered, Good float64
	// Lost counts the requests that did not get a complete response in time.
	Lost int
}

// Result holds the measurements of a run. Work is useful only if its response was complete within the deadline, or
// still can be when the run ends.
type Result struct {
	// Goodput is the useful work in units/s.
	Goodput float64
	// WorkDone is all work that the engines did, useful or not, in units; each engine's part is scaled by its share of
	// the layers.
	WorkDone   float64
	Violations []router.Violation
	Refusals   map[errkind.Kind]int
	Completed  int
	// Timeouts counts the attempts that timed out, Stalls those of them that timed out after the first token.
	Timeouts, Stalls uint64

	accountWork     map[entity.AccountID]*AccountWork
	firstTokenTimes []time.Duration
	tokenGaps       []time.Duration
	recoveryTimes   []time.Duration
}

func (sim *Simulation) accountWork(id entity.AccountID) *AccountWork {
	u, ok := sim.result.accountWork[id]
	if !ok {
		u = &AccountWork{}
		sim.result.accountWork[id] = u
	}
	return u
}

// Account returns the work of one client account.
func (r *Result) Account(id entity.AccountID) AccountWork {
	if u, ok := r.accountWork[id]; ok {
		return *u
	}
	return AccountWork{}
}

// recordToken records one token that reached the caller.
func (sim *Simulation) recordToken(j *job) {
	if j.ended {
		return
	}
	if sim.measuring {
		if j.tokens == 0 {
			j.deliveredUnits += float64(j.prompt) / promptTokensPerUnit
			sim.result.firstTokenTimes = append(sim.result.firstTokenTimes, sim.now()-j.sentAt)
		} else {
			sim.result.tokenGaps = append(sim.result.tokenGaps, sim.now()-j.lastTokenAt)
		}
		j.deliveredUnits++
	}
	sim.recordRecovery(j)
	j.tokens++
	j.lastTokenAt = sim.now()
}

// recordRecovery records the time from the fault, or from a later arrival, to the next progress of an affected request.
func (sim *Simulation) recordRecovery(j *job) {
	if j.affected {
		j.affected = false
		sim.result.recoveryTimes = append(sim.result.recoveryTimes, sim.now()-max(sim.faultAt, j.sentAt))
	}
}

func (sim *Simulation) recordCompletion(j *job) {
	if j.service && j.attempts > 1 && sim.measuring {
		sim.result.recoveryTimes = append(sim.result.recoveryTimes, sim.now()-j.sentAt)
	}
	sim.recordRecovery(j)
	j.ended, j.metDeadline = true, sim.now() <= j.deadline
	sim.result.Completed++
	if j.sendNext != nil && (sim.options.Load.ClosedLoopCallers > 0 || !j.metDeadline) {
		j.sendNext(0)
	}
}

func (sim *Simulation) recordRefusal(j *job, c message.RefuseRequest) {
	j.ended = true
	if sim.result.Refusals == nil {
		sim.result.Refusals = make(map[errkind.Kind]int)
	}
	if sim.measuring {
		sim.result.Refusals[c.Kind]++
	}
	if j.affected || j.service {
		j.affected = false
		sim.result.recoveryTimes = append(sim.result.recoveryTimes, notRecovered)
	}
	if j.sendNext != nil {
		j.sendNext(max(c.RetryAfter, 200*time.Millisecond))
	}
}

// notRecovered is the recovery time recorded for a request that did not recover from the fault.
const notRecovered = time.Minute

// markAffected marks the requests in progress that have received a token and that the fault affects.
func (sim *Simulation) markAffected() {
	for _, d := range sim.daemons {
		for _, s := range d.streams {
			s.request.affected = !s.request.ended && s.request.tokens > 0 && sim.isAffected(s)
		}
	}
}

// firstTokenMargin is the time before the end of a run in which new requests are not measured, because the run may end
// before their first token. It is longer than any wait that callers would accept.
const firstTokenMargin = 10 * time.Second

// markAffectedStart marks a request that has no token yet and is sent through a target that the fault affects.
func (sim *Simulation) markAffectedStart(d *daemon, j *job, chain entity.Chain) {
	if !sim.options.MeasureFirstTokens || sim.faultAt == 0 || j.tokens > 0 {
		return
	}
	if j.sentAt > sim.options.Warmup+sim.options.Measure-firstTokenMargin {
		return
	}
	ids := make([]entity.TargetID, len(chain))
	for i := range chain {
		ids[i] = chain[i].Target
	}
	j.affected = j.affected || sim.options.Affects(d.zone, ids)
}

func (sim *Simulation) isAffected(s *stream) bool {
	if sim.options.Affects == nil {
		return true
	}
	ids := make([]entity.TargetID, len(s.hops))
	for i, e := range s.hops {
		ids[i] = e.id
	}
	return sim.options.Affects(s.daemon.zone, ids)
}

func (sim *Simulation) finishResult() {
	good := 0.0
	for _, j := range sim.jobs {
		if j.metDeadline || !j.ended && j.deadline > sim.now() {
			good += j.deliveredUnits
		}
		sim.recordAccountWork(j)
		if j.affected {
			sim.result.recoveryTimes = append(sim.result.recoveryTimes, notRecovered)
		}
	}
	for _, d := range sim.daemons {
		counts := d.router.Status().Counts
		sim.result.Timeouts += counts.Timeouts
		sim.result.Stalls += counts.Stalls
	}
	sim.result.Goodput = good / sim.options.Measure.Seconds()
	slices.Sort(sim.result.firstTokenTimes)
	slices.Sort(sim.result.tokenGaps)
	slices.Sort(sim.result.recoveryTimes)
}

func (sim *Simulation) recordAccountWork(j *job) {
	if j.service || j.sentAt < sim.options.Warmup || j.deadline > sim.now() {
		return
	}
	u := sim.accountWork(j.account)
	u.Offered += j.size.units()
	if j.metDeadline {
		u.Good += j.size.units()
	} else {
		u.Lost++
	}
}

// Pool adds the recovery times and violations of another run to r.
func (r *Result) Pool(other *Result) {
	r.Violations = append(r.Violations, other.Violations...)
	r.recoveryTimes = append(r.recoveryTimes, other.recoveryTimes...)
	slices.Sort(r.recoveryTimes)
}

// P95FirstToken returns the 95th percentile of the time to the first token.
func (r *Result) P95FirstToken() time.Duration { return percentile(r.firstTokenTimes, 0.95) }

// P95TokenGap returns the 95th percentile of the time between tokens.
func (r *Result) P95TokenGap() time.Duration { return percentile(r.tokenGaps, 0.95) }

// P95Recovery returns the 95th percentile of the recovery time and the number of requests that the fault affected.
func (r *Result) P95Recovery() (time.Duration, int) {
	return percentile(r.recoveryTimes, 0.95), len(r.recoveryTimes)
}

func percentile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
