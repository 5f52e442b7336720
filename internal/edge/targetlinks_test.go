package edge

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/fx"

	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
	"github.com/hyssophoist/hyssophoist/platform"
)

// cutMode is what happens to new connections of an instance to its targets.
type cutMode int

const (
	linksUp cutMode = iota
	linksRefuse
	linksHang
)

// targetLinks are the links between one instance and all targets, each through a proxy of its own.
type targetLinks struct {
	t       *testing.T
	mu      sync.Mutex
	mode    cutMode
	proxies map[string]*faultproxy.Proxy
	// sound holds the addresses of targets whose links are never cut.
	sound map[string]bool
}

func newTargetLinks(t *testing.T) *targetLinks {
	return &targetLinks{t: t, proxies: make(map[string]*faultproxy.Proxy), sound: make(map[string]bool)}
}

// option makes a daemon open its connections to targets through the links.
func (l *targetLinks) option() fx.Option {
	return fx.Decorate(
		func(pool *connpool.Pool) *connpool.Pool {
			pool.Dial = l.dial
			return pool
		},
		func(engines *platform.EngineClient) *platform.EngineClient {
			engines.Dial = l.dial
			return engines
		},
	)
}

func (l *targetLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	mode, proxy := l.linkTo(address)
	switch mode {
	case linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case linksHang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	}
	var dialer net.Dialer
	// A target that has ended refuses connections; the proxy would accept them.
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn.Close()
	return dialer.DialContext(ctx, network, proxy)
}

// linkTo returns the state of the link to a target and the address of its proxy.
func (l *targetLinks) linkTo(address string) (cutMode, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sound[address] {
		return linksUp, address
	}
	proxy := l.proxies[address]
	if proxy == nil {
		var err error
		if proxy, err = faultproxy.New(faultproxy.Options{Target: address}); err != nil {
			l.t.Error(err)
			return linksRefuse, ""
		}
		l.t.Cleanup(proxy.Close)
		l.proxies[address] = proxy
	}
	return l.mode, proxy.Address()
}

// cut sets what happens to new connections, and then applies f to the proxy of each link.
func (l *targetLinks) cut(mode cutMode, f func(*faultproxy.Proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	for _, proxy := range l.proxies {
		f(proxy)
	}
}

// restore ends a cut.
func (l *targetLinks) restore() { l.cut(linksUp, func(*faultproxy.Proxy) {}) }

// accepted returns the number of open connections.
func (l *targetLinks) accepted() (open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, proxy := range l.proxies {
		open += len(proxy.Connections())
	}
	return open
}
