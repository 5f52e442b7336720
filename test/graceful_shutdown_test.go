package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/daemon"
)

// TestGracefulShutdownUnderLoad guards against a graceful shutdown that interrupts one of several requests in progress,
// or that ends before the outcomes of postings are stored.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1})
	f.waitVersion(1, "ab")
	stopping := f.byName["a1"]
	// The response of the service takes longer than the drain delay of 2 s.
	setFaults(t, f.service, map[string]any{"after_ms": 2500})
	running, wait := stopping.startStreams(6, 800)
	running.Wait()
	h := &history{results: make(map[string][]callResult)}
	var callers sync.WaitGroup
	for i := range 8 {
		key := fmt.Sprintf("key-%d", i)
		callers.Go(func() {
			h.add(key, stopping.requestWithin(waitTimeout, waitTimeout, http.MethodPost, "/services/ledger/postings",
				key, postingBody(key)))
		})
	}
	waitFor(t, "the postings to run", func() bool { return len(f.executions()) == 8 })
	stopping.proc.signal(syscall.SIGTERM)
	assertComplete(t, "graceful shutdown", wait())
	callers.Wait()
	if code := stopping.proc.waitExit(); code != 0 {
		t.Errorf("exit code is %d", code)
	}
	stopping.start()
	if succeeded, _ := h.checkExecutions(f); succeeded != 8 {
		t.Errorf("%d of 8 postings in progress succeeded", succeeded)
	}
	h.checkOutcomes(f)
	f.assertNoViolations()
}

// TestRequestDuringGracefulShutdownIsRefused guards against a request that gets no answer because a part of it arrives
// before the daemon refuses new ones.
func TestRequestDuringGracefulShutdownIsRefused(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1})
	f.waitVersion(1, "ab")
	stopping := f.byName["a1"]
	body := postingBody("late")
	request := fmt.Sprintf("POST /services/ledger/postings HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer %s\r\n"+
		"Idempotency-Key: late\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
	conn, err := net.Dial("tcp", strings.TrimPrefix(stopping.callerURL(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stopping.proc.signal(syscall.SIGTERM)
	// An error of a write shows when the answer is read.
	_, _ = io.WriteString(conn, request[:20])
	time.Sleep(daemon.DefaultDrainDelay + 500*time.Millisecond)
	_, _ = io.WriteString(conn, request[20:])
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || len(f.executions()) > 0 {
		t.Errorf("status %d, %d executions", response.StatusCode, len(f.executions()))
	}
	if code := stopping.proc.waitExit(); code != 0 {
		t.Errorf("exit code is %d", code)
	}
}
