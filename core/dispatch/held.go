package dispatch

import "time"

// maxHoldShare is the fraction of the time left for which a response is held. Callers retry after a failed response too, at
// another instance, and need time for it. A sound target may be silent for a second or so, which requests of a few seconds can
// wait for.
const maxHoldShare = 0.5

// HeldResponse is the response of a target that has failed a request, held while another attempt may serve it.
type HeldResponse struct {
	// Left is the time that the request had left when the response was complete, Held the time since then.
	Left, Held time.Duration
}

// Forward reports whether to forward the response rather than to wait on.
func (h HeldResponse) Forward() bool { return h.Wait() <= 0 }

// Wait returns the time until Forward reports true.
func (h HeldResponse) Wait() time.Duration { return share(maxHoldShare, h.Left) - h.Held }
