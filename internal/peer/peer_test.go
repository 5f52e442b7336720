package peer_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// claimHandler handles ClaimStatus; calls with the attempt "slow" block until the test ends.
type claimHandler struct {
	peer.Handler
	release chan struct{}
}

func (h *claimHandler) ClaimStatus(args *peer.ClaimStatusArgs, reply *peer.ClaimStatusReply) error {
	if args.Attempt == "slow" {
		<-h.release
	}
	reply.State = peer.ClaimAbandoned
	return nil
}

func startServer(t *testing.T, token string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &claimHandler{release: make(chan struct{})}
	server, err := peer.NewServer(peer.ServerOptions{Handler: handler, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Serve(ctx, listener); close(done) }()
	t.Cleanup(func() { close(handler.release); cancel(); <-done })
	return listener.Addr().String()
}

func callClaimStatus(client *peer.Client, address string, attempt string, timeout time.Duration) error {
	var reply peer.ClaimStatusReply
	args := &peer.ClaimStatusArgs{Attempt: "a"}
	if attempt != "" {
		args.Attempt = "slow"
	}
	return client.CallWithin(context.Background(), timeout, address, peer.ClaimStatusCall, args, &reply)
}

// startProxy starts a TCP proxy to address whose first connection never gets a reply. It returns the address of the
// proxy and the number of accepted connections.
func startProxy(t *testing.T, address string) (string, *atomic.Int32) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if accepted.Add(1) == 1 {
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				continue
			}
			upstream, err := net.Dial("tcp", address)
			if err != nil {
				conn.Close()
				continue
			}
			go func() { _, _ = io.Copy(upstream, conn); upstream.Close() }()
			go func() { _, _ = io.Copy(conn, upstream); conn.Close() }()
		}
	}()
	return listener.Addr().String(), accepted
}

// TestUnresponsiveConnectionIsReplaced guards against reuse of an unresponsive connection: every later call would time
// out as well.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	address, accepted := startProxy(t, startServer(t, "secret"))
	client := peer.NewClient(peer.ClientOptions{Token: "secret", CallTimeout: 20 * time.Second})
	defer client.Close()
	if err := callClaimStatus(client, address, "", 200*time.Millisecond); errkind.Of(err) != errkind.DeadlineExceeded {
		t.Fatalf("call on an unresponsive connection: %v, want %s", err, errkind.DeadlineExceeded)
	}
	for range 3 {
		if err := callClaimStatus(client, address, "", 20*time.Second); err != nil {
			t.Fatalf("call after an unresponsive connection: %v", err)
		}
	}
	if accepted.Load() != 2 {
		t.Errorf("%d connections, want 2", accepted.Load())
	}
}

// TestCallsEndAtTheirDeadline guards against a call that does not end at its deadline because the remote handler hangs,
// and against a run outcome that is wrong about whether the call was sent.
func TestCallsEndAtTheirDeadline(t *testing.T) {
	address := startServer(t, "secret")
	client := peer.NewClient(peer.ClientOptions{Token: "secret", CallTimeout: 20 * time.Second})
	defer client.Close()
	if err := callClaimStatus(client, address, "slow", 100*time.Millisecond); errkind.Of(err) != errkind.DeadlineExceeded || errkind.RunOf(err) != errkind.Unknown {
		t.Errorf("call of a hanging handler: %v with run outcome %s", err, errkind.RunOf(err))
	}
	if err := callClaimStatus(client, "127.0.0.1:1", "", 20*time.Second); errkind.RunOf(err) != errkind.NotRun {
		t.Errorf("call without a connection: %v with run outcome %s", err, errkind.RunOf(err))
	}
}

// TestWrongTokenIsRefused guards against a daemon of another deployment that joins this one.
func TestWrongTokenIsRefused(t *testing.T) {
	address := startServer(t, "secret")
	for _, token := range []string{"", "secre", "secret2"} {
		client := peer.NewClient(peer.ClientOptions{Token: token, CallTimeout: 20 * time.Second})
		if err := callClaimStatus(client, address, "", 20*time.Second); err == nil {
			t.Errorf("call with token %q succeeded", token)
		}
		client.Close()
	}
}
