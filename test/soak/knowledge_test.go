package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// keyProbeInterval is the time between two probes of the configuration that a daemon applies.
const keyProbeInterval = 200 * time.Millisecond

// writtenConfiguration is a configuration of the operator. begunAt is when its write was begun, confirmedAt when it was
// confirmed.
type writtenConfiguration struct {
	version              int
	key                  string
	begunAt, confirmedAt time.Time
}

// keyProbe is a request with the key of one configuration.
type keyProbe struct {
	*sentRequest
	version int
}

// accepted and denied report whether the daemon took the key as valid or as invalid. Other responses show neither.
func (p keyProbe) accepted() bool { return p.err == nil && p.status == http.StatusOK }
func (p keyProbe) denied() bool   { return p.err == nil && p.status == http.StatusUnauthorized }

// departure is the time from when a target began to drain until it wrote that it is ready again. shown holds the times
// during which the store said that the target is leaving or gone.
type departure struct {
	period
	shown []period
}

// process is the knowledge that one process of a daemon can have. interruptions are the times during which it could not
// read the store, in the order of their start.
type process struct {
	daemon        *daemon
	lifetime      period
	interruptions []period
}

// probeKeys sends requests with the last key and with a random older one to a daemon until ctx ends.
func (c *callers) probeKeys(ctx context.Context, d *daemon, random *rand.Rand) {
	for ctx.Err() == nil {
		configurations := c.env.writtenConfigurations()
		last := len(configurations) - 1
		c.probeKey(d, configurations[last])
		if last > 0 {
			c.probeKey(d, configurations[max(0, last-1-random.IntN(2))])
		}
		time.Sleep(keyProbeInterval)
	}
}

func (c *callers) probeKey(d *daemon, configuration writtenConfiguration) {
	probe := keyProbe{c.env.probe(d, "read", configuration.key), configuration.version}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes = append(c.probes, probe)
}

func (env *environment) writtenConfigurations() []writtenConfiguration {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.configurations)
}

// processes returns the processes of a daemon.
func (env *environment) processes(d *daemon) (processes []*process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	interruptions := slices.Concat(env.storeFaults.all(), d.storeFaults.all(), d.pauses.all())
	slices.SortFunc(interruptions, func(a, b period) int { return a.from.Compare(b.from) })
	for _, lifetime := range d.processes {
		processes = append(processes, &process{d, lifetime.closed(), interruptions})
	}
	return processes
}

// closed returns the period with its end set to now if it has none.
func (p period) closed() period {
	if p.to.IsZero() {
		p.to = time.Now()
	}
	return p
}

// contains reports whether the period contains the time between from and to.
func (p period) contains(from, to time.Time) bool { return !from.Before(p.from) && !to.After(p.to) }

// knows returns when the process must know what the store showed during the given periods, in order: after the first time
// of length bound without an interruption. It reports false if there was none.
func (p *process) knows(shown []period, bound time.Duration) (at time.Time, ok bool) {
	for _, s := range shown {
		s = s.closed()
		start, end := s.from, s.to
		if p.lifetime.from.After(start) {
			start = p.lifetime.from
		}
		if p.lifetime.to.Before(end) {
			end = p.lifetime.to
		}
		for _, i := range p.interruptions {
			if !i.to.Before(start) && i.from.Before(start.Add(bound)) {
				start = i.to
			}
		}
		if at := start.Add(bound); !at.After(end) {
			return at, true
		}
	}
	return time.Time{}, false
}

// checkConfigurations checks that each process applies the last configuration within configBound and never goes back to
// an older one.
func (c *callers) checkConfigurations() {
	for _, d := range c.env.daemons {
		for _, p := range c.env.processes(d) {
			c.checkProbes(p, c.env.writtenConfigurations())
		}
	}
}

// checkProbes checks the probes that were handled by one process, in the order in which they were sent.
func (c *callers) checkProbes(p *process, configurations []writtenConfiguration) {
	highest := 0
	for _, probe := range c.probes {
		if probe.daemon != p.daemon || !p.lifetime.contains(probe.sentAt, probe.endedAt) {
			continue
		}
		required, superseded := highest, false
		for _, written := range configurations {
			at, ok := p.knows([]period{{from: written.confirmedAt}}, configBound)
			if ok && at.Before(probe.sentAt) {
				required = max(required, written.version)
			}
			superseded = superseded || written.version > probe.version && written.begunAt.Before(probe.endedAt)
		}
		outdated := probe.accepted() && probe.version < required
		missing := probe.denied() && probe.version <= required && !superseded
		if outdated || missing {
			c.env.t.Errorf("%s answered with status %d at %s to the key of configuration %d, when %d was in force or had to be",
				p.daemon.name, probe.status, probe.sentAt.Format("05.000"), probe.version, required)
		}
		if probe.accepted() {
			highest = max(highest, probe.version)
		}
	}
}

// departures returns the times from when the target began to drain until it wrote that it is ready again. The entry of a
// target that crashed just lapses and begins none.
func (t *target) departures() (list []departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var current departure
	var shownSince time.Time
	for _, e := range t.entries {
		leaving := e.state == "draining" || e.state == "" && !current.from.IsZero()
		switch {
		case leaving && current.from.IsZero():
			current.from, shownSince = e.at, e.at
		case leaving && shownSince.IsZero():
			shownSince = e.at
		case !leaving && !shownSince.IsZero():
			current.shown = append(current.shown, period{shownSince, e.at})
			shownSince = time.Time{}
		}
		if e.state == "ready" && !current.from.IsZero() {
			current.to = e.at
			list = append(list, current)
			current = departure{}
		}
	}
	return list
}

// checkDepartures checks that a target which is leaving or gone gets no request from a process that had drainBound to
// read that.
func (c *callers) checkDepartures() {
	senders := make(map[string]*daemon, len(c.requests)+len(c.probes))
	for _, s := range c.requests {
		senders[s.id] = s.daemon
	}
	for _, probe := range c.probes {
		senders[probe.id] = probe.daemon
	}
	checked := 0
	for _, d := range c.env.daemons {
		for _, p := range c.env.processes(d) {
			for _, t := range c.env.targets {
				checked += c.checkUses(p, t, senders)
			}
		}
	}
	c.env.t.Logf("%d departures of targets checked against a process", checked)
}

// checkUses checks that a process did not use a target during its departures. It returns the number of departures of
// which the process had to know.
func (c *callers) checkUses(p *process, t *target, senders map[string]*daemon) (known int) {
	uses := c.env.usesOf(t)
	for _, left := range t.departures() {
		knownAt, ok := p.knows(left.shown, drainBound)
		if !ok {
			continue
		}
		known++
		forbidden := period{knownAt, left.to}
		for _, use := range uses {
			ownUse := senders[use.RequestID] == p.daemon && p.lifetime.contains(use.At, use.At)
			if ownUse && forbidden.contains(use.At, use.At) {
				c.env.t.Errorf("request %s from %s arrived at %s at %s, which was leaving since %s and known to be by %s",
					use.RequestID, p.daemon.name, t.ID, use.At.Format("05.000"), left.from.Format("05.000"), knownAt.Format("05.000"))
			}
		}
	}
	return known
}

// usesOf returns the requests that arrived at a target, and those that ran on a path through it, unless they may have
// arrived late.
func (env *environment) usesOf(t *target) (uses []edgeplatform.Arrival) {
	for _, first := range env.targets {
		arrivals := []edgeplatform.Arrival{}
		if first == t {
			arrivals = t.Arrivals()
		}
		for _, r := range first.Runs() {
			if strings.Contains(r.Hops, t.Address()+"=") {
				arrivals = append(arrivals, edgeplatform.Arrival{RequestID: r.RequestID, At: r.At})
			}
		}
		for _, a := range arrivals {
			if !first.delays.overlap(a.At.Add(-releaseTime), a.At) {
				uses = append(uses, a)
			}
		}
	}
	return uses
}

// checkFencing checks that each fencing number of an order belongs to one process of a daemon, which has logged that it
// holds the lease.
func (c *callers) checkFencing() {
	holders := make(map[uint64][]string)
	for _, d := range c.env.daemons {
		for fence, processes := range d.loggedLeases() {
			holders[fence] = append(holders[fence], processes...)
		}
	}
	orders := make(map[uint64]int)
	for _, t := range c.env.targets {
		for _, order := range t.Orders() {
			orders[order.Fence]++
		}
	}
	for fence, n := range orders {
		if len(holders[fence]) != 1 {
			c.env.t.Errorf("%d orders have the fencing number %d, which was held by %v", n, fence, holders[fence])
		}
	}
	c.env.t.Logf("orders have %d fencing numbers", len(orders))
}

// loggedLeases returns the fencing numbers of the leases that the daemon has logged to hold, with the processes that held
// each of them.
func (d *daemon) loggedLeases() map[uint64][]string {
	leases := make(map[uint64][]string)
	for line := range d.logLines() {
		head, fields, _ := strings.Cut(line, "lease changed\" held=true ")
		var fence uint64
		if _, err := fmt.Sscanf(fields, "fencing=%d", &fence); err != nil {
			continue
		}
		// The fields of the head are the date, the time, the process id and the place in the source.
		process := d.name + " process " + strings.Fields(head)[2]
		if !slices.Contains(leases[fence], process) {
			leases[fence] = append(leases[fence], process)
		}
	}
	return leases
}
