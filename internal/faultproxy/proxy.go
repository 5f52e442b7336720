// Package faultproxy implements a TCP proxy that injects network faults in tests: resets, delays, bandwidth limits,
// blackholes, half-open connections and one-way blocks. Its random choices depend only on the seed and the sequence
// number of the connection.
package faultproxy

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
)

const defaultDialTimeout = 5 * time.Second

// Direction is the direction of data through the proxy.
type Direction int

// The directions.
const (
	// ToTarget is from the client to the target, ToClient the other way.
	ToTarget Direction = iota
	ToClient
	directionCount = 2
)

// Rules shape the traffic in one direction of a connection.
type Rules struct {
	// Delay is added to the latency of each byte, and so is a random duration from 0 to Jitter. Bytes stay in order.
	Delay, Jitter time.Duration
	// BytesPerSecond bounds the bandwidth; 0 means no limit.
	BytesPerSecond float64
	// Blocked holds back all bytes and forwards them when it is cleared, as after a network partition. While ToTarget is
	// blocked, the proxy opens no new connections to the target.
	Blocked bool
}

// RandomFaults configures the faults that the proxy injects into new connections at random.
type RandomFaults struct {
	// ResetProbability and BlackholeProbability are the probabilities, from 0 to 1, that a connection is reset or
	// blackholed.
	ResetProbability, BlackholeProbability float64
	// MaxBytes bounds the number of bytes to the client before the fault. The number is drawn uniformly from 1 to
	// MaxBytes; it is 1 if MaxBytes is 0.
	MaxBytes int64
}

// Options configures a Proxy.
type Options struct {
	// Target is the host:port to which the proxy forwards connections.
	Target string
	// Address is the host:port to listen on; a free port on the loopback address if empty.
	Address string
	// Seed determines jitter and random faults.
	Seed uint64
	// DialTimeout bounds the dial to the target; 5 s if 0.
	DialTimeout time.Duration
	// Clock times delays and bandwidth limits; clock.System if nil.
	Clock clock.Clock
}

// Proxy is a running proxy. It is safe for concurrent use.
type Proxy struct {
	options  Options
	clock    clock.Clock
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu           sync.Mutex
	target       string
	refusing     bool
	blocked      map[string]bool // IP addresses of clients
	rules        [directionCount]Rules
	randomFaults RandomFaults
	responses    responseFault
	connections  map[*Connection]struct{}
	accepted     uint64
	changed      chan struct{} // closed and replaced when connections changes
}

// New starts a proxy. It returns an error if the address is invalid or already in use.
func New(options Options) (*Proxy, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("start listener of proxy for target %s: %w", options.Target, err)
	}
	p := &Proxy{
		options: options, clock: options.Clock, listener: listener, target: options.Target,
		connections: map[*Connection]struct{}{}, changed: make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the host:port of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// URL returns the address of the proxy as an HTTP base URL.
func (p *Proxy) URL() string { return "http://" + p.Address() }

// Close stops the proxy, resets all connections and waits until they have ended.
func (p *Proxy) Close() {
	p.cancel()
	p.listener.Close()
	p.Reset()
	p.group.Wait()
}

// SetTarget makes the proxy forward new connections to target, a host:port.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// RefuseNew sets whether new connections are reset as soon as they are accepted. Existing connections are not affected.
func (p *Proxy) RefuseNew(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refuse
}

// BlockClients resets existing and new connections of clients with these IP addresses. Each call replaces the addresses
// of the previous one.
func (p *Proxy) BlockClients(addresses ...string) {
	p.mu.Lock()
	p.blocked = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		p.blocked[address] = true
	}
	p.mu.Unlock()
	resetAll(slices.DeleteFunc(p.Connections(), func(c *Connection) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.isBlocked(c.client)
	}))
}

// isBlocked reports whether the client of a connection is blocked. The caller holds p.mu.
func (p *Proxy) isBlocked(client net.Conn) bool {
	host, _, err := net.SplitHostPort(client.RemoteAddr().String())
	return err == nil && p.blocked[host]
}

// SetRules sets the rules of one direction for all connections, new and existing.
func (p *Proxy) SetRules(direction Direction, rules Rules) {
	p.mu.Lock()
	p.rules[direction] = rules
	p.mu.Unlock()
	for _, c := range p.Connections() {
		c.SetRules(direction, rules)
	}
}

// SetRandomFaults sets the faults that are injected into new connections at random.
func (p *Proxy) SetRandomFaults(faults RandomFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.randomFaults = faults
}

// responseFault is a fault for the connections of the next requests that satisfy match, as many as remaining: a
// blackhole if blackhole is set, else a reset.
type responseFault struct {
	remaining int
	match     func(request []byte) bool
	blackhole bool
}

// DropResponses resets the connections of the next n requests that satisfy match when the first byte of the response
// arrives, so that the target has executed the request but the client receives no byte of the response. match gets the
// bytes from the client since the last response, at most the first 4 KiB, and must not call the proxy; a nil match
// accepts all requests. The call replaces an earlier one of DropResponses or BlackholeResponses.
func (p *Proxy) DropResponses(n int, match func(request []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses = responseFault{remaining: n, match: match}
}

// BlackholeResponses does the same as DropResponses but blackholes the connections instead of resetting them.
func (p *Proxy) BlackholeResponses(n int, match func(request []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responses = responseFault{remaining: n, match: match, blackhole: true}
}

// responseDecision returns how to handle the response to request. If it applies the fault, it counts down remaining.
func (p *Proxy) responseDecision(request []byte) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := &p.responses
	if f.remaining <= 0 || (f.match != nil && !f.match(request)) {
		return forward
	}
	f.remaining--
	if f.blackhole {
		return discard
	}
	return resetBoth
}

// Reset resets all existing connections on both sides.
func (p *Proxy) Reset() { resetAll(p.Connections()) }

// resetAll resets connections. It first stops forwarding on all of them, so that a client that notices the reset of one
// reaches the target through none of the others.
func resetAll(connections []*Connection) {
	for _, c := range connections {
		c.Blackhole()
	}
	for _, c := range connections {
		c.Reset()
	}
}

// Blackhole blackholes all existing connections permanently. New ones are not affected.
func (p *Proxy) Blackhole() {
	for _, c := range p.Connections() {
		c.Blackhole()
	}
}

// HalfOpen resets all existing connections on the side that direction leads to and keeps the other side open.
func (p *Proxy) HalfOpen(direction Direction) {
	for _, c := range p.Connections() {
		c.HalfOpen(direction)
	}
}

// Connections returns the open connections in the order in which they were accepted.
func (p *Proxy) Connections() []*Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := slices.Collect(maps.Keys(p.connections))
	slices.SortFunc(open, func(a, b *Connection) int { return cmp.Compare(a.number, b.number) })
	return open
}

// Accepted returns the number of connections accepted since the start, open or closed. Refused ones do not count.
func (p *Proxy) Accepted() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// WaitConnections waits until exactly n connections are open and returns them, or the error of ctx if it ends first.
func (p *Proxy) WaitConnections(ctx context.Context, n int) ([]*Connection, error) {
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if open := p.Connections(); len(open) == n {
			return open, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refusing := p.refusing || p.ctx.Err() != nil || p.isBlocked(client)
		if refusing {
			p.mu.Unlock()
			reset(client)
			continue
		}
		p.accepted++
		c := newConnection(p, p.accepted, client)
		p.connections[c] = struct{}{}
		p.notifyWaiters()
		p.mu.Unlock()
		p.group.Go(c.run)
	}
}

func (p *Proxy) remove(c *Connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
	p.notifyWaiters()
}

func (p *Proxy) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed, which needs no reset
	}
	connection.Close()
}
