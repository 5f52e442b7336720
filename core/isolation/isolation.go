// Package isolation decides whether an instance has lost its own links to the targets of a service.
//
// A target that refuses or ignores connections may have ended, or the path to it may be cut. One failure does not tell which.
// So the first failure makes the instance connect to several targets of the service at once: if none accepts, the instance is
// isolated from the service, and requests are relayed to other instances. It goes on to connect to targets until one accepts.
//
// The package answers the load of requests at an instance that cannot serve them: without it, each of them tries one target
// after the other. It does no I/O and reads no clock: callers pass the time in.
package isolation

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// checkInterval is the minimum time between two checks of a service that is reachable: a target that has ended fails many
	// connections, and each check opens some more.
	checkInterval = 500 * time.Millisecond
	// isolatedCheckInterval is the time between two checks of a service from which the instance is isolated.
	isolatedCheckInterval = 200 * time.Millisecond
)

// Detector holds what an instance knows of its links to services. It is not safe for concurrent use.
type Detector struct {
	services map[entity.ServiceID]*service
}

type service struct {
	isolated, suspected bool
	// checkedAt is when the last check began; checking reports whether it is in progress.
	checkedAt time.Time
	checking  bool
}

// New returns a detector by which all services are reachable.
func New() *Detector { return &Detector{services: make(map[entity.ServiceID]*service)} }

// RecordFailure records that a connection to a target of the service could not be opened, or that a target did not answer. It
// reports whether a check is due.
func (d *Detector) RecordFailure(now time.Time, id entity.ServiceID) bool {
	s := d.services[id]
	if s == nil {
		s = &service{}
		d.services[id] = s
	}
	s.suspected = true
	return s.due(now)
}

func (s *service) due(now time.Time) bool {
	switch {
	case s.checking || !s.suspected && !s.isolated:
		return false
	case s.checkedAt.IsZero():
		return true
	case s.isolated:
		return now.Sub(s.checkedAt) >= isolatedCheckInterval
	}
	return now.Sub(s.checkedAt) >= checkInterval
}

// BeginChecks returns the services that are to be checked now. RecordCheck must follow for each.
func (d *Detector) BeginChecks(now time.Time) (due []entity.ServiceID) {
	for id, s := range d.services {
		if s.due(now) {
			s.checkedAt, s.checking, s.suspected = now, true, false
			due = append(due, id)
		}
	}
	return due
}

// RecordCheck records the result of a check: whether a target of the service has accepted a connection, and how many were asked.
// It reports whether the instance has become isolated or is no longer. A service without targets isolates no instance.
func (d *Detector) RecordCheck(id entity.ServiceID, accepted bool, asked int) (changed bool) {
	s := d.services[id]
	if s == nil {
		return false
	}
	isolated := !accepted && asked > 0
	changed = s.isolated != isolated
	s.isolated, s.checking = isolated, false
	return changed
}

// Isolated reports whether the instance is isolated from a service.
func (d *Detector) Isolated(id entity.ServiceID) bool {
	s := d.services[id]
	return s != nil && s.isolated
}

// Pending reports whether a check of a service is in progress or due.
func (d *Detector) Pending(now time.Time, id entity.ServiceID) bool {
	s := d.services[id]
	return s != nil && (s.checking || s.due(now))
}

// Count returns the number of services from which the instance is isolated.
func (d *Detector) Count() (count int) {
	for _, s := range d.services {
		if s.isolated {
			count++
		}
	}
	return count
}

// Retain forgets the services that exist no longer.
func (d *Detector) Retain(exists func(entity.ServiceID) bool) {
	for id, s := range d.services {
		if !s.checking && !exists(id) {
			delete(d.services, id)
		}
	}
}
