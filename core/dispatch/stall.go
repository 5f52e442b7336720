package dispatch

import "time"

// SilenceLimit is how long an engine that sends nothing may be sound. Sound engines fall silent for a second or so, and
// callers disconnect after two seconds without an event; an attempt that ends before that lets its caller retry.
const SilenceLimit = 1800 * time.Millisecond

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
		return s.Silent && s.Idle >= SilenceLimit
	}
}

// Wait returns the time until Cancel may report true without a change of the engines.
func (s Stall) Wait() time.Duration {
	if s.Replaceable {
		return s.Limit - s.Idle
	}
	return SilenceLimit - s.Idle
}
