package dispatch

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// Stall is an attempt of a stream for which no event arrives.
type Stall struct {
	// Idle is the time since the last event, Limit the time after which another attempt is better than to wait on.
	Idle, Limit time.Duration
	// Silent reports whether engines of the path do not answer, Gone whether the process of one has ended.
	Silent, Gone bool
	// Replaceable reports whether another attempt may follow, Begun whether the caller has got a part of the response.
	Replaceable, Begun bool
}

// Cancel reports whether to cancel the attempt. One that no other may follow is the caller's last chance. If the caller
// has got a part of the response, the end of that attempt could only close the connection, so it is kept until an engine is
// known to have ended. Otherwise it is kept while the silent engine may be sound; the caller then gets an answer and can retry.
func (s Stall) Cancel() bool {
	switch {
	case s.Gone:
		return true
	case s.Replaceable:
		return s.Silent || s.Idle >= s.Limit
	default:
		return !s.Begun && s.Silent && s.Idle >= fleet.SilenceLimit
	}
}

// Wait returns the time until Cancel may report true without a change of the engines, or false if it will not.
func (s Stall) Wait() (wait time.Duration, limited bool) {
	switch {
	case s.Replaceable:
		return s.Limit - s.Idle, true
	case s.Begun:
		return 0, false
	default:
		return fleet.SilenceLimit - s.Idle, true
	}
}
