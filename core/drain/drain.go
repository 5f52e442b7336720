// Package drain decides which requests an instance still takes while it stops gracefully.
//
// It does no I/O and reads no clock: callers pass the time in.
package drain

import "time"

const (
	// BalancerDelay is how long after the start of a stop the load balancer may send new connections: it probes
	// readiness once a second and takes an instance out of rotation after two probes without status 200.
	BalancerDelay = 2500 * time.Millisecond
	// Linger is how long after BalancerDelay connections in the queue are accepted, and how long a connection must have
	// carried no request before it is closed: the request of the last connection may arrive some time after it.
	Linger = 250 * time.Millisecond
)

// Stop is the graceful stop of an instance.
type Stop struct {
	// BegunAt is when the instance was asked to stop, EndAt when it closes what is still open.
	BegunAt, EndAt time.Time
}

// AcceptUntil returns the time until which the instance accepts connections.
func (s Stop) AcceptUntil() time.Time { return s.BegunAt.Add(BalancerDelay) }

// Takes reports whether a request that arrives at time now and times out after timeout is still served. While new
// connections arrive, all are; later ones are only if they end in time whatever happens.
func (s Stop) Takes(now time.Time, timeout time.Duration) bool {
	return now.Before(s.AcceptUntil().Add(Linger)) || !now.Add(timeout).After(s.EndAt)
}
