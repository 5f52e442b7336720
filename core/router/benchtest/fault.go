package benchtest

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// Kill crashes an engine. If silent, its peers get no error; otherwise their next message fails with a refused
// connection.
func (sim *Simulation) Kill(id entity.TargetID, silent bool) {
	e := sim.engineByID[id]
	e.dead = true
	sim.silentKill = silent
}

// Pause suspends an engine for a time without losing its state.
func (sim *Simulation) Pause(id entity.TargetID, pause time.Duration) {
	e := sim.engineByID[id]
	e.paused = true
	sim.after(pause, func() {
		e.paused = false
		resume := sim.onResume[e.index]
		sim.onResume[e.index] = nil
		for _, run := range resume {
			run()
		}
		if len(resume) == 0 && !e.busy {
			e.step()
		}
	})
}

// SilenceService makes a plain service target drop all calls without a response.
func (sim *Simulation) SilenceService(id entity.TargetID) { sim.serviceTargetByID[id].silent = true }

// Slow multiplies the step time of an engine by factor.
func (sim *Simulation) Slow(id entity.TargetID, factor float64) { sim.engineByID[id].slowdown = factor }

// Silence makes the daemons' connections of the selected streams drop all further data without an error.
func (sim *Simulation) Silence(selects func(daemonZone int, targets []entity.TargetID) bool) {
	for _, d := range sim.daemons {
		for _, s := range d.streams {
			ids := make([]entity.TargetID, len(s.hops))
			for i, e := range s.hops {
				ids[i] = e.id
			}
			if selects(d.zone, ids) {
				s.silent = true
			}
		}
	}
}

// Partition disconnects a zone from all others.
func (sim *Simulation) Partition(zone int) {
	for other := range sim.fleet.Zones {
		if other != zone {
			sim.partitioned[[2]int{min(zone, other), max(zone, other)}] = true
		}
	}
}

// Heal reconnects all zones.
func (sim *Simulation) Heal() { clear(sim.partitioned) }

// Leave marks a target as leaving at every daemon.
func (sim *Simulation) Leave(id entity.TargetID) {
	c := *sim.fleet.Configuration
	c.Version++
	c.Marks = append(c.Marks[:len(c.Marks):len(c.Marks)], entity.Mark{ID: string(id), State: entity.LeaveMark})
	for _, d := range sim.daemons {
		d.push(message.ConfigurationChanged{Configuration: &c})
	}
}

// After schedules a further step of a fault after a delay.
func (sim *Simulation) After(delay time.Duration, run func()) { sim.after(delay, run) }
