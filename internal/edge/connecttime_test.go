package edge

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// hangingAddress returns an address on which a connection is neither opened nor refused: its queue of connections is full.
func hangingAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestHangingConnectLeavesTimeForAnotherTarget guards against requests that are not served because a connection that does not
// open takes most of their time.
func TestHangingConnectLeavesTimeForAnotherTarget(t *testing.T) {
	t.Parallel()
	const limit, latency, requests = 600 * time.Millisecond, 250 * time.Millisecond, 4
	for _, path := range []string{"/post/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			d.plain[0].Latency = latency
			d.plain[1].Advertise(hangingAddress(t))
			d.register(d.plain[1], "ready")
			d.waitUntil("the daemon knows the address", func() bool { return daemon.plainAddress(d.plain[1].ID) == d.plain[1].Address() })
			var running sync.WaitGroup
			for n := range requests {
				running.Go(func() {
					id := fmt.Sprint("hanging-", n)
					caller := dialCaller(t, daemon)
					caller.write(requestBytes(path, id, limit))
					if status, err := caller.answer(); status != http.StatusOK || err != nil || len(d.runsOf(id)) != 1 {
						t.Errorf("status %d, %v, ran %d times, want 200 and 1", status, err, len(d.runsOf(id)))
					}
				})
			}
			running.Wait()
		})
	}
}

// TestHangingConnectsAreRefusedInTime guards against requests that have not run and get their refusal too late, because the
// connections to all targets take long to open.
func TestHangingConnectsAreRefusedInTime(t *testing.T) {
	t.Parallel()
	const limit = 600 * time.Millisecond
	for _, path := range []string{"/post/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			daemon := d.addDaemonAndAwaitPlacement()
			for _, target := range d.plain {
				target.Advertise(hangingAddress(t))
				d.register(target, "ready")
				d.waitUntil("the daemon knows the address", func() bool { return daemon.plainAddress(target.ID) == target.Address() })
			}
			status, took := d.answerTime(daemon, path, "refused", limit)
			if status != http.StatusServiceUnavailable || took > limit {
				t.Errorf("status %d after %v, want 503 within %v", status, took, limit)
			}
		})
	}
}

// plainAddress returns the address of a target according to the daemon.
func (d *Daemon) plainAddress(id string) (address string) {
	d.gateway.WithFleet(func(f *fleet.Fleet) {
		if state := f.Get(entity.TargetID(id)); state != nil {
			address = state.Address
		}
	})
	return address
}
