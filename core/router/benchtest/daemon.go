package benchtest

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/router"
)

const (
	tickPeriod     = 10 * time.Millisecond
	stepDelay      = 200 * time.Microsecond
	progressPeriod = 50 * time.Millisecond
	reportPeriod   = 250 * time.Millisecond
	reportLagMin   = 200 * time.Millisecond
	reportLagRange = 400 * time.Millisecond
)

// daemon simulates a daemon, which runs one router.
type daemon struct {
	sim       *Simulation
	zone      int
	router    *router.Router
	inputs    []message.Input
	scheduled bool
	streams   map[entity.AttemptID]*stream
	jobs      map[entity.RequestID]*job
}

func (d *daemon) push(input message.Input) {
	d.inputs = append(d.inputs, input)
	if !d.scheduled {
		d.scheduled = true
		d.sim.after(stepDelay, d.step)
	}
}

func (d *daemon) tick() {
	d.step()
	d.sim.after(tickPeriod, d.tick)
}

func (d *daemon) step() {
	d.scheduled = false
	inputs := d.inputs
	d.inputs = nil
	for _, command := range d.router.Step(d.sim.time(), inputs) {
		switch c := command.(type) {
		case message.StartAttempt:
			d.start(c)
		case message.CancelAttempt:
			d.cancel(c.Attempt)
		case message.RefuseRequest:
			d.sim.recordRefusal(d.jobs[c.Request], c)
			delete(d.jobs, c.Request)
		case message.FinishRequest:
			d.sim.recordCompletion(d.jobs[c.Request])
			delete(d.jobs, c.Request)
		}
	}
}

func (d *daemon) start(c message.StartAttempt) {
	j := d.jobs[c.Request]
	d.sim.markAffectedStart(d, j, c.Chain)
	j.attempts++
	head := d.sim.engineByID[c.Chain[0].Target]
	if j.service {
		d.sim.callService(d, j, c, d.sim.serviceTargetByID[c.Chain[0].Target])
		return
	}
	s := &stream{sim: d.sim, daemon: d, request: j, attempt: c.Attempt, fromPosition: c.FromPosition,
		nextPosition: c.FromPosition, priority: c.Priority,
		holdsSlot: make([]bool, len(c.Chain)), samples: make([]message.HopSample, len(c.Chain))}
	for i, hop := range c.Chain {
		e := d.sim.engineByID[hop.Target]
		s.hops = append(s.hops, e)
		s.samples[i].Target = e.id
	}
	d.streams[c.Attempt] = s
	d.sim.sendToEngine(d, head, s.start)
}

func (d *daemon) cancel(id entity.AttemptID) {
	s, ok := d.streams[id]
	if !ok {
		return
	}
	delete(d.streams, id)
	s.silent = true
	d.sim.after(latency(d.zone, d.sim.fleet.targetZones[s.hops[0].index]), s.release)
}

// engineLost ends a stream whose engine e is dead and, unless the kill was silent, reports this to the stream's daemon:
// the engine before e has its connection refused and ends the stream.
func (s *stream) engineLost(e *engine) {
	if s.ended {
		return
	}
	run := errkind.Unknown
	if e == s.hops[0] && s.nextPosition == s.fromPosition {
		run = errkind.NotRun
	}
	s.release()
	if s.sim.silentKill {
		return
	}
	s.sim.sendToDaemon(e, s.daemon, func() {
		if s.silent {
			return
		}
		delete(s.daemon.streams, s.attempt)
		s.daemon.push(message.AttemptFailed{Request: s.request.id, Attempt: s.attempt, Kind: errkind.TargetFailed,
			Run: run, NextPosition: s.nextPosition, Target: e.id})
	})
}

// receiveToken handles the arrival of one token at the daemon.
func (s *stream) receiveToken(position int) {
	if s.silent || position != s.nextPosition {
		return
	}
	s.nextPosition++
	s.sim.recordToken(s.request)
	if s.nextPosition >= s.request.output {
		delete(s.daemon.streams, s.attempt)
		s.daemon.push(message.AttemptFinished{Request: s.request.id, Attempt: s.attempt, NextPosition: s.nextPosition})
		return
	}
	if wait := s.reportedAt + progressPeriod - s.sim.now(); wait > 0 {
		if !s.flushScheduled {
			s.flushScheduled = true
			s.sim.after(wait, s.flush)
		}
		return
	}
	s.flush()
}

func (s *stream) flush() {
	s.flushScheduled = false
	if s.silent || s.nextPosition >= s.request.output {
		return
	}
	s.reportedAt = s.sim.now()
	hops := make([]message.HopSample, len(s.samples))
	copy(hops, s.samples)
	s.daemon.push(message.AttemptProgressed{Request: s.request.id, Attempt: s.attempt,
		NextPosition: s.nextPosition, Hops: hops})
}
