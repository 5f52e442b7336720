package router

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// learned is what the router knows about a target from its own requests and late load reports.
type estimates struct {
	stepTime  estimate.Mean // seconds per token at the target, queueing included
	tokenRate estimate.Rate
	window    estimate.Window
	queued    int // of the latest report
	// running counts the requests of all daemons in the latest report.
	running int
	// links holds the links to other targets.
	links map[*target]*link
}

// class names the targets that share prior estimates.
type targetClass struct {
	accelerator string
	layers      int
}

// zonePair names two zones by the router's numbers for them.
type zonePair struct{ from, to int }

// link is what the router knows about the link between two targets.
type link struct{ transferTime estimate.Mean }

// zoneLinks is what the links between two zones have in common.
type zoneLinks struct {
	transferTime estimate.Mean
	// least is the shortest transfer seen in seconds, which is the latency without the time for the tokens.
	shortest float64
}

// classSteps is what the targets of one class have in common.
type classStepTime struct {
	estimate.Mean
	// least is the shortest step seen, in seconds: that of a target with little load.
	shortest float64
}

func (c *classStepTime) observe(now time.Time, step float64) {
	c.Observe(now, step, classHalfLife)
	if c.shortest == 0 || step < c.shortest {
		c.shortest = step
	}
}

func classOf(t *target) targetClass { return targetClass{t.Accelerator, t.Layers.Len()} }

// learnHops adds the hop samples of one progress summary.
func (r *Router) learnHops(hops []message.HopSample) {
	for i := range hops {
		t := r.targets.Get(hops[i].Target)
		if t == nil {
			continue
		}
		if hops[i].Step > 0 {
			t.estimates.stepTime.Observe(r.now, hops[i].Step.Seconds(), stepTimeHalfLife)
			r.stepTimeOfClass(classOf(t)).observe(r.now, hops[i].Step.Seconds())
		}
		if next := r.targets.Get(hops[i].Next); next != nil && hops[i].Transfer > 0 {
			r.learnLink(t, next, hops[i].Transfer.Seconds())
		}
	}
}

func (r *Router) stepTimeOfClass(c targetClass) *classStepTime {
	m, ok := r.classStepTimes[c]
	if !ok {
		m = &classStepTime{}
		r.classStepTimes[c] = m
	}
	return m
}

func (r *Router) learnLink(from, to *target, transfer float64) {
	if from.estimates.links == nil {
		from.estimates.links = make(map[*target]*link)
	}
	l, ok := from.estimates.links[to]
	if !ok {
		l = &link{}
		from.estimates.links[to] = l
	}
	l.transferTime.Observe(r.now, transfer, linkHalfLife)
	zones := zonePair{from.zoneIndex, to.zoneIndex}
	z, ok := r.zoneLinks[zones]
	if !ok {
		z = &zoneLinks{shortest: transfer}
		r.zoneLinks[zones] = z
	}
	z.transferTime.Observe(r.now, transfer, classHalfLife)
	z.shortest = min(z.shortest, transfer)
}

func (r *Router) applyLoad(in message.LoadReported) {
	t := r.targets.Get(in.Target)
	if t == nil {
		return
	}
	t.estimates.tokenRate.Observe(r.now.Add(-in.Age), in.TokensProcessed, rateHalfLife)
	t.estimates.queued, t.estimates.running = in.Queued, in.Running
	shortest := r.stepTimeOfClass(classOf(t)).shortest
	congested := in.Queued > 1+in.Running/50 || shortest > 0 && r.stepTime(t) > r.tuning.congestedStepRatio*shortest
	t.estimates.window.Observe(r.now, t.inProgress, congested)
}

// stepTime returns the expected time of one token at the target, in seconds.
func (r *Router) stepTime(t *target) float64 {
	prior := r.stepTimeOfClass(classOf(t)).Value(r.now, classHalfLife, defaultStepTime.Seconds())
	return t.estimates.stepTime.Value(r.now, stepTimeHalfLife, prior)
}

// transferTime returns the expected time of one answer token on a link and the part of it that grows with the number
// of tokens sent, in seconds.
func (r *Router) transferTime(from, to *target) (token, perToken float64) {
	z, ok := r.zoneLinks[zonePair{from.zoneIndex, to.zoneIndex}]
	if !ok {
		return defaultTransferTime.Seconds(), 0
	}
	prior := z.transferTime.Value(r.now, classHalfLife, z.shortest)
	token = prior
	if l, ok := from.estimates.links[to]; ok {
		token = l.transferTime.Value(r.now, linkHalfLife, prior)
	}
	return token, max(0, token-z.shortest)
}

const (
	stepTimeHalfLife    = time.Second
	classHalfLife       = 30 * time.Second
	linkHalfLife        = 20 * time.Second
	rateHalfLife        = 20 * time.Second
	defaultStepTime     = 10 * time.Millisecond
	defaultTransferTime = 500 * time.Microsecond
)
