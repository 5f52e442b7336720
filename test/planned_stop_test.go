package test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
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
