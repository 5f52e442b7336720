package benchtest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// Load describes the requests that the callers send.
type Load struct {
	// ClosedLoopCallers is the number of callers that each send a request when their previous one has ended; 0 means an
	// open loop.
	ClosedLoopCallers int
	// Rate is the offered work of an open loop, as a share of Fleet.Bound.
	Rate float64
	// LargeAccountFactor multiplies the rate of the large accounts; 0 means 1.
	LargeAccountFactor float64
	// Bursts makes each account send at three times its mean rate for a fifth of the time.
	Bursts bool
	// Deadline is the time from sending a request to its deadline.
	Deadline time.Duration
	// ServiceCallRate is the number of plain service calls per second.
	ServiceCallRate float64
	// SharedPrefix is the share of each prompt that is one of the prefixesPerAccount shared prefixes of its account. If
	// it is not 0, engines cache prefixes.
	SharedPrefix float64
	// MaxResends bounds how often an open-loop caller resends a refused or late request.
	MaxResends int
}

// job is a caller's request.
type job struct {
	size
	id             entity.RequestID
	account        entity.AccountID
	service        bool
	sentAt         time.Duration
	deadline       time.Duration
	attempts       int
	lastTokenAt    time.Duration
	tokens         int
	hashes         []uint64
	deliveredUnits float64 // while measuring
	ended          bool
	metDeadline    bool
	affected       bool // by the fault, and not recovered yet
	resends        int
	sendNext       func(after time.Duration) // sends the next request of a closed loop, or this one again
}

func (sim *Simulation) startLoad() {
	load := &sim.options.Load
	if load.LargeAccountFactor == 0 {
		load.LargeAccountFactor = 1
	}
	for i := range load.ClosedLoopCallers {
		a := sim.fleet.accounts[i%len(sim.fleet.accounts)]
		random := rand.New(rand.NewPCG(sim.options.Seed, uint64(i)+1000))
		sim.after(time.Duration(random.Int64N(int64(2*time.Second))), func() { sim.closedLoop(a, random) })
	}
	if load.ClosedLoopCallers == 0 {
		sim.startOpenLoops()
	}
	if load.ServiceCallRate > 0 {
		random := rand.New(rand.NewPCG(sim.options.Seed, 99))
		sim.serviceLoop(random)
	}
}

func (sim *Simulation) closedLoop(a account, random *rand.Rand) {
	j := sim.newJob(a, random)
	j.sendNext = func(after time.Duration) { sim.after(after, func() { sim.closedLoop(a, random) }) }
	sim.send(j)
}

// startOpenLoops starts the open loops. Each large account gets four times the rate of a small one.
func (sim *Simulation) startOpenLoops() {
	total := 0.0
	for _, a := range sim.fleet.accounts {
		total += rateWeight(a)
	}
	rate := sim.options.Load.Rate * sim.fleet.Bound() / sim.fleet.MeanUnits()
	for i, a := range sim.fleet.accounts {
		accountRate := rate * rateWeight(a) / total
		if a.large {
			accountRate *= sim.options.Load.LargeAccountFactor
		}
		random := rand.New(rand.NewPCG(sim.options.Seed, uint64(i)+1000))
		offset := time.Duration(random.Int64N(int64(burstPeriod)))
		sim.openLoop(a, accountRate, offset, random)
	}
}

func rateWeight(a account) float64 {
	if a.large {
		return 4
	}
	return 1
}

// burstPeriod is the time between the starts of two successive bursts of an account.
const burstPeriod = 5 * time.Second

// openLoop sends requests with exponentially distributed intervals, at a rate that follows the account's bursts.
func (sim *Simulation) openLoop(a account, rate float64, offset time.Duration, random *rand.Rand) {
	current := rate
	if sim.options.Load.Bursts {
		current = rate / 2
		if (sim.now()+offset)%burstPeriod < burstPeriod/5 {
			current = 3 * rate
		}
	}
	sim.after(seconds(random.ExpFloat64()/current), func() {
		j := sim.newJob(a, random)
		sim.setResend(j)
		sim.send(j)
		sim.openLoop(a, rate, offset, random)
	})
}

func (sim *Simulation) serviceLoop(random *rand.Rand) {
	sim.after(seconds(random.ExpFloat64()/sim.options.Load.ServiceCallRate), func() {
		j := &job{account: sim.fleet.accounts[random.IntN(10)].id, service: true}
		sim.send(j)
		sim.serviceLoop(random)
	})
}

func (sim *Simulation) setResend(j *job) {
	j.sendNext = func(after time.Duration) {
		if j.resends >= sim.options.Load.MaxResends {
			return
		}
		next := &job{size: j.size, account: j.account, resends: j.resends + 1}
		sim.setResend(next)
		sim.after(after, func() { sim.send(next) })
	}
}

func (sim *Simulation) newJob(a account, random *rand.Rand) *job {
	s := size{prompt: 100 + random.IntN(201), output: 50 + random.IntN(101)}
	if random.Float64() < sim.fleet.longShare {
		s = size{prompt: 2000 + random.IntN(2001), output: 200 + random.IntN(201)}
	}
	return &job{size: s, account: a.id}
}

// send gives the request to a random daemon, as the load balancer does.
func (sim *Simulation) send(j *job) {
	sim.nextID++
	j.id = entity.RequestID(fmt.Sprintf("r%d", sim.nextID))
	j.sentAt, j.lastTokenAt = sim.now(), sim.now()
	j.deadline = sim.now() + sim.options.Load.Deadline
	sim.jobs = append(sim.jobs, j)
	d := sim.daemons[sim.random.IntN(len(sim.daemons))]
	d.jobs[j.id] = j
	if sim.options.Load.SharedPrefix > 0 {
		j.hashes = sim.prefixHashes(j)
	}
	in := message.RequestArrived{PrefixHashes: j.hashes, Request: j.id, Account: j.account, Model: modelName,
		PromptTokens: j.prompt, MaxTokens: max(1, j.output*3/2), Idempotent: true, Deadline: epoch.Add(j.deadline)}
	if j.service {
		in.Kind, in.Service = message.ServiceCall, serviceID
	}
	d.push(in)
}
