package dispatch

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// restrictFirstEngines takes the first layer from the nodes whose engines get no attempts because they asked for time, or
// are not in firsts unless that is nil, so that they can only be later stages. It reports whether there are any of the former.
func (d *Dispatcher) restrictFirstEngines(now time.Time, firsts *Runs) (backedOff bool) {
	kept := d.nodes[:0]
	for _, node := range d.nodes {
		state := d.states[node.Index]
		if node.Layers.From == 0 && firsts != nil && !firsts.Includes(state.Target) {
			node.Layers.From = 1
		}
		if node.Layers.From == 0 && !state.AcceptsAttempt(now) {
			backedOff = true
			node.Layers.From = 1
		}
		if node.Layers.Len() > 0 {
			kept = append(kept, node)
		}
	}
	d.nodes = kept
	return backedOff
}

// beginAttempt records the attempt with the given reservation; saved reports whether it was kept from another target.
func (d *Dispatcher) beginAttempt(reservation *fleet.Target, saved bool) {
	if saved {
		d.SavedAttempts++
	}
	if state := d.Fleet.Get(reservation.ID); state != nil && state.Born == reservation.Born {
		state.BeginAttempt(reservation)
	}
}

// ReplacePath releases the path of an attempt that goes on along another one, which has the same first engine.
func (d *Dispatcher) ReplacePath(before, after *Path) {
	if state := d.Fleet.Get(before.Stages[0].Target.ID); state != nil {
		state.ReplaceAttempt(&before.Stages[0].Target, &after.Stages[0].Target)
	}
	d.Release(before)
}

// AllBackOff reports whether all targets that can take a call of the service, for a generation all that can be its first
// engine, get no attempts because they asked for time, and the shortest time that is left of theirs.
func (d *Dispatcher) AllBackOff(now time.Time, service *routing.Service, generation bool) (time.Duration, bool) {
	return d.Fleet.AllBackOff(now, func(state *fleet.State) bool {
		if state.Service != service.ID {
			return false
		}
		if !generation {
			return true
		}
		_, known := service.Engine.Cards[state.Card]
		return known && state.Layers.From == 0 && state.Layers.Len() > 0 && !state.Down(now)
	})
}
