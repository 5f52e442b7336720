package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/callerconn"
	"github.com/hyssophoist/hyssophoist/internal/settings"
)

const (
	// reservedDescriptors is the number of descriptors that are kept for files, but at most maxReservedRatio of all descriptors, so
	// that a process with few of them can serve callers.
	reservedDescriptors = 200
	maxReservedRatio    = 0.25
	// callerDescriptorRatio is the part of the other descriptors for connections of callers: a request in progress needs another
	// connection, to its target.
	callerDescriptorRatio = 0.5
	// relayedDescriptorRatio is the part of the same descriptors for connections of other instances that relay requests, so that
	// these do not take the place of the callers of this instance.
	relayedDescriptorRatio = 0.125
	// callerMemoryRatio is the memory for connections of callers as a fraction of the memory of the process. An instance with
	// 184 MB then has room for 1,400 connections that are idle, and each process for 360.
	callerMemoryRatio = 0.3
	// headTimeoutFactor multiplies the time for a head in the configuration, since callers may go by an earlier or later one.
	// headTimeoutMargin is added, since the time counts from the moment at which the caller sends it.
	headTimeoutFactor = 2
	headTimeoutMargin = 2 * time.Second
	// headSizeMargin is added to the size of a head in the configuration, for what intermediaries add.
	headSizeMargin = 1 << 10
	// shedLogInterval is the time between two log lines on connections that were closed because of the limits.
	shedLogInterval = time.Second
)

// callerKey is the key of the connection of a caller in the context of its requests.
type callerKey struct{}

// withCaller is the ConnContext hook of the server for callers.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// passOn records that a request of a caller is passed on to a target. It returns false if its connection has been closed.
func (d *Daemon) passOn(r *http.Request) bool {
	c, ok := r.Context().Value(callerKey{}).(net.Conn)
	return !ok || d.callers.PassOn(c)
}

// callerListenConfig returns how the daemon listens for callers.
func callerListenConfig() net.ListenConfig { return net.ListenConfig{Control: limitWindow} }

// limitWindow is callerconn.ControlWindow. If the system refuses the limit, the daemon serves callers without it.
func limitWindow(network, address string, raw syscall.RawConn) error {
	if err := callerconn.ControlWindow(network, address, raw); err != nil {
		log.Errorf("failed to limit the receive buffers of callers on %s: %v", address, err)
	}
	return nil
}

// callerLimits returns the limits on the connections of callers.
func (d *Daemon) callerLimits() callerconn.Limits {
	return callerconn.Limits{
		Connections: maxCallerConnections(descriptors(d.settings)), Memory: memoryShare(d.settings, callerMemoryRatio),
		Head: d.headLimits, OnShed: d.recordShed,
	}
}

// descriptors returns the number of descriptors that the process may use.
func descriptors(s *settings.Edge) int {
	limit := s.MaxFDs
	var process syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process); err != nil {
		log.Errorf("failed to read the limit of descriptors: %v", err)
		return limit
	}
	if limit == 0 || process.Cur < uint64(limit) {
		limit = int(min(process.Cur, 1<<30))
	}
	return limit
}

// maxCallerConnections returns how many connections callers may have open if the process may use the given number of
// descriptors, 0 for no limit.
func maxCallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(callerDescriptorRatio*connectionDescriptors(descriptors)))
}

// maxRelayedRequests returns how many relayed requests may be in progress, 0 for no limit.
func maxRelayedRequests(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(relayedDescriptorRatio*connectionDescriptors(descriptors)))
}

// connectionDescriptors returns how many of a number of descriptors are for connections.
func connectionDescriptors(descriptors int) float64 {
	return float64(descriptors - min(reservedDescriptors, int(maxReservedRatio*float64(descriptors))))
}

// headLimits returns the maximum size of the head of a request and the time for it.
func (d *Daemon) headLimits() (size int, timeout time.Duration) {
	size, timeout = defaultHeadBytes, headerTimeout
	if configuration := d.gateway.Configuration(); configuration != nil {
		if limit := configuration.Limits.HeaderBytes; limit > 0 {
			size = limit + headSizeMargin
		}
		if limit := configuration.Limits.HeaderTimeout; limit > 0 {
			timeout = headTimeoutFactor*limit + headTimeoutMargin
		}
	}
	return size, timeout
}

// shedLog bounds the log lines on connections that were closed because of the limits. It is safe for concurrent use.
type shedLog struct {
	mu      sync.Mutex
	last    time.Time
	pending callerconn.Shed
}

// add counts closed connections. It returns their sum since the last line if another line is due.
func (l *shedLog) add(now time.Time, s callerconn.Shed) (total callerconn.Shed, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Incomplete += l.pending.Incomplete
	s.Unsent += l.pending.Unsent
	s.Idle += l.pending.Idle
	if now.Sub(l.last) < shedLogInterval {
		l.pending = s
		return callerconn.Shed{}, false
	}
	l.last, l.pending = now, callerconn.Shed{}
	return s, true
}

// recordShed records that connections were closed for want of descriptors or memory.
func (d *Daemon) recordShed(s callerconn.Shed) {
	for phase, count := range map[string]int{"incomplete": s.Incomplete, "unsent": s.Unsent, "idle": s.Idle} {
		d.metrics.ShedConnections.WithLabelValues(phase).Add(float64(count))
	}
	total, due := d.shed.add(time.Now(), s)
	if !due {
		return
	}
	log.Event("connections closed for want of descriptors or memory", "incomplete", total.Incomplete, "unsent", total.Unsent,
		"idle", total.Idle, "open", total.Connections, "bytes", total.Bytes, "maxConnections", d.callers.Limits().Connections,
		"maxBytes", d.callers.Limits().Memory)
}
