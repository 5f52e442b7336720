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
	// Replaceable reports whether another attempt may follow.
	Replaceable bool
}

// Cancel reports whether to cancel the attempt. One that no other may follow is the caller's last chance, so it is kept
// while the silent engine may be sound.
func (s Stall) Cancel() bool {
	switch {
	case s.Gone:
		return true
	case s.Replaceable:
		return s.Silent || s.Idle >= s.Limit
	default:
		return s.Silent && s.Idle >= fleet.SilenceLimit
	}
}

// Wait returns the time until Cancel may report true without a change of the engines.
func (s Stall) Wait() time.Duration {
	if s.Replaceable {
		return s.Limit - s.Idle
	}
	return fleet.SilenceLimit - s.Idle
}
