package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"time"
)

const (
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds the data queued for a delayed or blocked direction. When the queue is full, the proxy stops
	// reading and the sender has to wait, as on a congested network path.
	maxQueuedChunks = 256
)

// pump forwards the bytes of one direction: it reads them as they arrive and writes them when the rules allow.
type pump struct {
	connection      *Connection
	direction       Direction
	from, to        net.Conn
	random          *rand.Rand
	queue           chan chunk
	lastDue         time.Time
	bandwidthFreeAt time.Time // end of the transfer of the previous chunk at the bandwidth limit
}

func newPump(c *Connection, direction Direction, from, to net.Conn) *pump {
	return &pump{
		connection: c, direction: direction, from: from, to: to,
		random: c.newRandom(direction), queue: make(chan chunk, maxQueuedChunks),
	}
}

func (p *pump) run() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.read()
	}()
	p.write()
	<-done
}

// read queues incoming data until the stream or the connection ends.
func (p *pump) read() {
	defer close(p.queue)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 && !p.enqueue(chunk{content: append([]byte{}, buffer[:n]...)}) {
			return
		}
		if err != nil {
			p.enqueue(chunk{reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

// enqueue sets the due time of c and adds it to the queue. It returns false if the connection has ended.
func (p *pump) enqueue(c chunk) bool {
	rules, _ := p.connection.currentRules(p.direction)
	c.due = p.connection.proxy.clock.Now().Add(rules.Delay)
	if rules.Jitter > 0 {
		c.due = c.due.Add(time.Duration(p.random.Int64N(int64(rules.Jitter) + 1)))
	}
	if c.due.Before(p.lastDue) {
		c.due = p.lastDue
	}
	p.lastDue = c.due
	select {
	case p.queue <- c:
		return true
	case <-p.connection.ctx.Done():
		return false
	}
}

// write forwards the queued chunks. It returns when the stream or the connection has ended.
func (p *pump) write() {
	for c := range p.queue {
		if !p.waitUntilDue(c) {
			return
		}
		if len(c.content) == 0 {
			p.forwardClose(c.reset)
			return
		}
		if !p.writeChunk(c.content) {
			p.connection.Reset()
			return
		}
	}
}

// waitUntilDue waits until the rules allow c to be forwarded. It returns false if the connection ends first.
func (p *pump) waitUntilDue(c chunk) bool {
	clk, ctx := p.connection.proxy.clock, p.connection.ctx
	if clk.Sleep(ctx, c.due.Sub(clk.Now())) != nil || !p.connection.waitUntilUnblocked(p.direction) {
		return false
	}
	rules, blackholed := p.connection.currentRules(p.direction)
	if rules.BytesPerSecond <= 0 || blackholed {
		return true
	}
	now := clk.Now()
	if p.bandwidthFreeAt.Before(now) {
		p.bandwidthFreeAt = now
	}
	p.bandwidthFreeAt = p.bandwidthFreeAt.Add(transferTime(len(c.content), rules.BytesPerSecond))
	return clk.Sleep(ctx, p.bandwidthFreeAt.Sub(now)) == nil && p.connection.waitUntilUnblocked(p.direction)
}

func transferTime(bytes int, perSecond float64) time.Duration {
	return time.Duration(float64(bytes) / perSecond * float64(time.Second))
}

// writeChunk writes the part of content that may be forwarded. It returns false if the connection must be reset.
func (p *pump) writeChunk(content []byte) bool {
	decision, allowed := p.connection.decide(p.direction, content)
	if allowed > 0 {
		if _, err := p.to.Write(content[:allowed]); err != nil {
			_, blackholed := p.connection.currentRules(p.direction)
			return blackholed // HalfOpen reset this side; the other side must not notice
		}
		p.connection.countForwarded(p.direction, allowed)
	}
	return decision != resetBoth
}

// forwardClose closes the stream to the other side, or resets the connection after a read error. It does nothing if the
// connection is blackholed.
func (p *pump) forwardClose(wasReset bool) {
	if _, blackholed := p.connection.currentRules(p.direction); blackholed {
		return
	}
	if wasReset {
		p.connection.Reset()
		return
	}
	if tcp, ok := p.to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the other side is already closed, which the pump reading from it reports
	}
}
