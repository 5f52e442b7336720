package faultproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Connection is one connection through the proxy. It is safe for concurrent use.
type Connection struct {
	proxy  *Proxy
	number uint64
	client net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	target     net.Conn // nil until the dial succeeds
	rules      [directionCount]Rules
	blackholed bool
	forwarded  [directionCount]int64
	fault      connectionFault
	request    []byte        // bytes from the client since the last response, at most maxRequestBytes
	changed    chan struct{} // closed and replaced when rules, blackholed or forwarded changes
}

// connectionFault is a fault that occurs after a number of bytes to the client: a blackhole if blackhole is set, else a
// reset.
type connectionFault struct {
	afterBytes int64 // 0 means no fault
	blackhole  bool
}

// newConnection returns a connection that is not running yet. The caller holds p.mu.
func newConnection(p *Proxy, number uint64, client net.Conn) *Connection {
	c := &Connection{proxy: p, number: number, client: client, rules: p.rules, changed: make(chan struct{})}
	c.ctx, c.cancel = context.WithCancel(p.ctx)
	random := c.newRandom(directionCount)
	sample, afterBytes := random.Float64(), int64(0)
	if p.randomFaults.MaxBytes > 0 {
		afterBytes = 1 + random.Int64N(p.randomFaults.MaxBytes)
	}
	switch {
	case sample < p.randomFaults.ResetProbability:
		c.fault = connectionFault{afterBytes: max(afterBytes, 1)}
	case sample < p.randomFaults.ResetProbability+p.randomFaults.BlackholeProbability:
		c.fault = connectionFault{afterBytes: max(afterBytes, 1), blackhole: true}
	}
	return c
}

// newRandom returns the random number generator of one stream of this connection. Jitter uses one stream per direction,
// random faults use stream directionCount.
func (c *Connection) newRandom(stream Direction) *rand.Rand {
	return rand.New(rand.NewPCG(c.proxy.options.Seed, c.number*(directionCount+1)+uint64(stream)))
}

// Number returns the sequence number of the connection at its proxy, starting at 1.
func (c *Connection) Number() uint64 { return c.number }

// ClientAddress returns the host:port of the client.
func (c *Connection) ClientAddress() string { return c.client.RemoteAddr().String() }

// SetRules sets the rules of one direction.
func (c *Connection) SetRules(direction Direction, rules Rules) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules[direction] = rules
	c.notifyWaiters()
}

// Reset resets the connection on both sides.
func (c *Connection) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	reset(c.client)
	if c.target != nil {
		reset(c.target)
	}
	c.cancel()
}

// Blackhole permanently discards all further data in both directions and keeps both sides open. Closing one side is
// not forwarded either.
func (c *Connection) Blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
	c.notifyWaiters()
}

// Blackholed reports whether the connection discards all data.
func (c *Connection) Blackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

// HalfOpen resets the side that direction leads to. The other side stays open and receives nothing more.
func (c *Connection) HalfOpen(direction Direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
	c.notifyWaiters()
	if direction == ToClient {
		reset(c.client)
	} else if c.target != nil {
		reset(c.target)
	}
}

// BytesForwarded returns the number of bytes forwarded in one direction.
func (c *Connection) BytesForwarded(direction Direction) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarded[direction]
}

// WaitForwarded waits until at least n bytes have been forwarded in one direction. It returns the
// error of ctx if that ends first, and an error if the connection ends first.
func (c *Connection) WaitForwarded(ctx context.Context, direction Direction, n int64) error {
	for {
		c.mu.Lock()
		forwarded, changed := c.forwarded[direction], c.changed
		c.mu.Unlock()
		if forwarded >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}

func (c *Connection) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// run opens the connection to the target and forwards bytes in both directions until both are closed.
func (c *Connection) run() {
	defer c.proxy.remove(c)
	defer c.Reset()
	if !c.waitUntilUnblocked(ToTarget) {
		return
	}
	target, err := c.dial()
	if err != nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { newPump(c, ToTarget, c.client, target).run() })
	group.Go(func() { newPump(c, ToClient, target, c.client).run() })
	group.Wait()
}

func (c *Connection) dial() (net.Conn, error) {
	c.proxy.mu.Lock()
	address := c.proxy.target
	c.proxy.mu.Unlock()
	dialer := net.Dialer{Timeout: c.proxy.options.DialTimeout}
	target, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = target
	return target, c.ctx.Err()
}

// waitUntilUnblocked waits until direction is not blocked. It returns false if the connection ends first.
func (c *Connection) waitUntilUnblocked(direction Direction) bool {
	for {
		c.mu.Lock()
		blocked := c.rules[direction].Blocked && !c.blackholed
		changed := c.changed
		c.mu.Unlock()
		if !blocked {
			return c.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

// decision tells a pump how to handle bytes that it has read.
type decision int

const (
	forward decision = iota
	discard
	resetBoth
)

// decide returns how to handle content in direction, and how many of its bytes to forward. It records the bytes of
// requests so that a fault can match the request when the response arrives.
func (c *Connection) decide(direction Direction, content []byte) (decision, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(content)
	if c.blackholed {
		return discard, 0
	}
	if direction == ToTarget {
		if available := maxRequestBytes - len(c.request); available > 0 {
			c.request = append(c.request, content[:min(available, n)]...)
		}
		return forward, n
	}
	if len(c.request) > 0 {
		request := c.request
		c.request = nil
		switch c.proxy.responseDecision(request) {
		case resetBoth:
			return resetBoth, 0
		case discard:
			c.blackholed = true
			c.notifyWaiters()
			return discard, 0
		}
	}
	remaining := c.fault.afterBytes - c.forwarded[ToClient]
	if c.fault.afterBytes == 0 || int64(n) < remaining {
		return forward, n
	}
	if c.fault.blackhole {
		c.blackholed = true
		c.notifyWaiters()
		return discard, int(remaining)
	}
	return resetBoth, int(remaining)
}

// countForwarded records that n bytes have been forwarded.
func (c *Connection) countForwarded(direction Direction, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded[direction] += int64(n)
	c.notifyWaiters()
}

func (c *Connection) currentRules(direction Direction) (rules Rules, blackholed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rules[direction], c.blackholed
}

// maxRequestBytes bounds the recorded bytes of one request.
const maxRequestBytes = 4 << 10

// chunk holds the bytes of one read. Empty content marks the end of the byte stream.
type chunk struct {
	content []byte
	due     time.Time // earliest time at which the chunk may be forwarded
	reset   bool      // whether the stream ended with an error, not with EOF
}
