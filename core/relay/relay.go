// Package relay decides to which instance a request is relayed whose own instance is isolated from the targets of its service
// (see core/isolation).
//
// A request is relayed to an instance of its own zone if one has room, since traffic between zones costs more; the instances
// in touch share the requests of the others by what each has been given. An instance that is isolated itself refuses at once
// and is then left out for a while, so that a request finds one in touch after few refusals, or is refused soon if there is
// none. The package answers the load of an outage of many instances, whose callers all go to the few that are left. It does
// no I/O and reads no clock: callers pass the time in.
package relay

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// MaxTries is the maximum number of instances that one request is offered to.
	MaxTries = 6
	// maxTriesInZone is how many of them may be in the zone of this instance: often a whole zone is isolated.
	maxTriesInZone = 2
	// leftOutTime is how long an instance is left out that has refused a request, or to which no connection could be opened. A
	// process that was killed is back in about this time.
	leftOutTime = 500 * time.Millisecond
	// otherZoneFactor is the cost of an instance of another zone, relative to one of the own zone with as many requests.
	otherZoneFactor = 1.5
)

// Peer is an instance that accepts relayed requests.
type Peer struct {
	ID   entity.DaemonID
	Zone entity.ZoneID
	// Address is the host:port of its listener for relayed requests.
	Address string
}

// Table holds what an instance knows of the instances that it relays requests to. It is not safe for concurrent use.
type Table struct {
	zone   entity.ZoneID
	random func() float64
	peers  map[entity.DaemonID]*state
}

type state struct {
	// inProgress counts the requests relayed to the instance that have not ended.
	inProgress   int
	leftOutUntil time.Time
}

// New returns the table of an instance in a zone. random returns numbers in [0, 1).
func New(zone entity.ZoneID, random func() float64) *Table {
	return &Table{zone: zone, random: random, peers: make(map[entity.DaemonID]*state)}
}

// Tried holds the instances that one request has been offered to.
type Tried struct {
	ids    map[entity.DaemonID]bool
	inZone int
}

// Add adds an instance.
func (t *Tried) Add(peer Peer, own entity.ZoneID) {
	if t.ids == nil {
		t.ids = make(map[entity.DaemonID]bool)
	}
	t.ids[peer.ID] = true
	if peer.Zone == own {
		t.inZone++
	}
}

// Choose returns the instance to offer a request to next, and counts the request there until Release. It reports false if
// there is none.
func (t *Table) Choose(now time.Time, peers []Peer, tried *Tried) (best Peer, found bool) {
	if len(tried.ids) >= MaxTries {
		return Peer{}, false
	}
	bestCost := 0.0
	for _, peer := range peers {
		own := peer.Zone == t.zone
		if tried.ids[peer.ID] || own && tried.inZone >= maxTriesInZone {
			continue
		}
		s := t.peers[peer.ID]
		if s != nil && now.Before(s.leftOutUntil) {
			continue
		}
		cost := 1 + t.random()/2 // the random part spreads requests over instances with equally many
		if s != nil {
			cost += float64(s.inProgress)
		}
		if !own {
			cost *= otherZoneFactor
		}
		if !found || cost < bestCost {
			best, bestCost, found = peer, cost, true
		}
	}
	if found {
		tried.Add(best, t.zone)
		t.get(best.ID).inProgress++
	}
	return best, found
}

func (t *Table) get(id entity.DaemonID) *state {
	s := t.peers[id]
	if s == nil {
		s = &state{}
		t.peers[id] = s
	}
	return s
}

// Release records that a request that was offered to an instance has ended there.
func (t *Table) Release(id entity.DaemonID) { t.get(id).inProgress-- }

// LeaveOut records that an instance has refused a request, since it is isolated itself or stops, or that no connection to it could
// be opened.
func (t *Table) LeaveOut(now time.Time, id entity.DaemonID) {
	t.get(id).leftOutUntil = now.Add(leftOutTime)
}

// Prune forgets instances without requests that are no longer left out.
func (t *Table) Prune(now time.Time) {
	for id, s := range t.peers {
		if s.inProgress == 0 && !now.Before(s.leftOutUntil) {
			delete(t.peers, id)
		}
	}
}
