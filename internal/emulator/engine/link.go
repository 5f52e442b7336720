package engine

import (
	"context"
	"time"
)

const (
	// activationBytes is the size of the activations of one token: 8,192 values of 2 bytes.
	activationBytes = 16 << 10
	// kvBytesPerLayer is the size of the KV of one token and layer: a key and a value of 1,024 elements of 2 bytes each.
	kvBytesPerLayer = 4 << 10
)

// Link describes the network link from one engine to another.
type Link struct {
	// BytesPerSecond is the bandwidth; 0 means no limit.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// LatencyMicros is the one-way latency in microseconds.
	LatencyMicros int64 `json:"latency_us"`
}

// TokenRate returns the number of tokens per second whose activations fit the bandwidth, or 0 for no limit.
func (l Link) TokenRate() float64 { return l.BytesPerSecond / activationBytes }

// linkTo returns the link to target. The caller holds e.mu.
func (e *Engine) linkTo(target string) Link {
	if link, ok := e.faults.Links[target]; ok {
		return link
	}
	if link, ok := e.options.Links[target]; ok {
		return link
	}
	return e.options.DefaultLink
}

// transfer sleeps for the time that bytes take on the link to target. Transfers on the same link are serialized, but
// not their latency.
func (e *Engine) transfer(ctx context.Context, target string, bytes float64) error {
	e.mu.Lock()
	link := e.linkTo(target)
	now := e.clock.Now()
	sentAt := now
	if link.BytesPerSecond > 0 {
		if free := e.linkFreeAt[target]; free.After(now) {
			sentAt = free
		}
		sentAt = sentAt.Add(time.Duration(bytes / link.BytesPerSecond * float64(time.Second)))
		e.linkFreeAt[target] = sentAt
	}
	e.mu.Unlock()
	return e.clock.Sleep(ctx, sentAt.Add(time.Duration(link.LatencyMicros)*time.Microsecond).Sub(now))
}
