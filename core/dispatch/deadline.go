package dispatch

import "time"

const (
	// responseMargin is the part of a caller's time that is kept for its request and its response to travel. The time counts
	// from the moment at which the caller sends, and callers are up to ten milliseconds away.
	responseMargin = 25 * time.Millisecond
	// targetMargin is the part of the time left that is kept for the response of a target to travel and to be forwarded.
	targetMargin = 10 * time.Millisecond
	// maxMarginShare bounds each margin to a fraction of a short time.
	maxMarginShare = 0.5
	// connectShare is the fraction of the time left for opening a connection: nothing has been sent by then, so another target
	// may still serve the request.
	connectShare = 0.3
)

// ResponseTimeout returns the time, from its arrival, within which a request must be answered for the response to reach a
// caller that waits for limit.
func ResponseTimeout(limit time.Duration) time.Duration { return withoutMargin(limit, responseMargin) }

// TargetTimeout returns the time that a target is given for a request that must be answered within left.
func TargetTimeout(left time.Duration) time.Duration { return withoutMargin(left, targetMargin) }

// ConnectTimeout returns the time to open a connection to a target for a request that must be answered within left.
func ConnectTimeout(left time.Duration) time.Duration { return share(connectShare, left) }

func withoutMargin(d, margin time.Duration) time.Duration {
	return d - min(margin, share(maxMarginShare, d))
}

func share(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
