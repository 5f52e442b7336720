package tablecache

import "time"

const (
	// pollShare, staleShare and spreadShare are fractions of the time within which a change must be known. The calls of
	// a reader that other instances rely on end when pollShare of it has passed since the last confirmation. Any other
	// instance reads the store itself if its copy has not been confirmed for staleShare of it, which is more than a
	// reader's call takes. These reads are spread over spreadShare by the rank of the instance, so that the first one
	// to succeed can tell the others.
	pollShare   = 0.5
	staleShare  = 0.7
	spreadShare = 0.2
	// rankStep is the time between the reads of two successive ranks.
	rankStep = 25 * time.Millisecond
	// maxPollWait is how long the calls of a reader wait if no other instance relies on it. It is long because calls
	// are billed, and can be long because dead connections are detected by keepalive probes, or by what a reader with
	// Role.ServesZones has read.
	maxPollWait = 20 * time.Second
	// silentShare is the fraction of that time by which a call of a reader with Role.ServesZones may outlast its wait. Its
	// connection then counts as silent.
	silentShare = 0.2
	// minFresher is how much later a confirmation must be to be passed on without changes.
	minFresher = 300 * time.Millisecond
)

// Role is the part of an instance in reading a table.
type Role struct {
	// Reader reports whether the instance follows the table in the store for its zone.
	Reader bool
	// Followed reports whether other instances rely on this reader.
	Followed bool
	// ServesZones reports whether the readers of other zones rely on this one to find out that their connections to the store are
	// silent although something answers the keepalive probes. One reader of a deployment does so.
	ServesZones bool
	// Rank is the number of instances of the zone that read the store before this one if the reader is lost.
	Rank int
}

// ReadPolicy decides when an instance reads a table from the store. It answers the load that hundreds of instances put
// on the store.
type ReadPolicy struct {
	// Bound is the time within which a change must be known.
	Bound time.Duration
}

// PollWait returns how long a call of an instance waits for a change. age is the time since its copy was last
// confirmed.
func (p ReadPolicy) PollWait(role Role, age time.Duration) time.Duration {
	switch {
	case !role.Reader:
		return 0
	case role.Followed:
		return max(0, p.share(pollShare)-age)
	case role.ServesZones:
		return p.Bound
	}
	return maxPollWait
}

// SilentAfter returns the time after which a call that waits for a change counts as made on a silent connection; 0 if it never does,
// since other instances find out.
func (p ReadPolicy) SilentAfter(role Role, wait time.Duration) time.Duration {
	if !role.Reader || role.Followed || !role.ServesZones {
		return 0
	}
	return wait + p.share(silentShare)
}

// ReadAt returns the time of the next read by an instance whose copy was last confirmed at confirmedAt. A reader reads
// without a pause.
func (p ReadPolicy) ReadAt(confirmedAt time.Time, role Role) time.Time {
	if role.Reader {
		return confirmedAt
	}
	spread := min(p.share(spreadShare), time.Duration(role.Rank)*rankStep)
	return confirmedAt.Add(p.share(staleShare) + spread)
}

// RetryDelay returns the delay after a failed read by an instance that is not a reader. random is in [0, 1).
func (p ReadPolicy) RetryDelay(random float64) time.Duration {
	return p.share(pollShare * (1 + random))
}

func (p ReadPolicy) share(share float64) time.Duration {
	return time.Duration(share * float64(p.Bound))
}
