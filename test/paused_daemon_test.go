package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"

	"github.com/hyssophoist/hyssophoist/internal/emulator/engine"
	"github.com/hyssophoist/hyssophoist/internal/tokenizer"
)

// streamResult is the text that a caller received of a streamed completion and the text that it should have received.
// err is set if the stream did not end normally.
type streamResult struct {
	text, want string
	err        error
}

// streamPrompt reads a streamed completion of the given prompt and calls progress after each chunk.
func (m *member) streamPrompt(prompt string, length int, progress func(chunks int)) streamResult {
	params := completionParams(length)
	params.Prompt = openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)}
	text, err := m.deployment().readStream(m.fleet.t.Context(), params, progress)
	return streamResult{text: text, want: engine.ExpectedText(tokenizer.Encode(prompt), length), err: err}
}

// startStreams starts n streams with different prompts at a member. running is done when each stream has received five
// chunks or has ended; wait returns the results when all have ended.
func (m *member) startStreams(n, length int) (running *sync.WaitGroup, wait func() []streamResult) {
	running = new(sync.WaitGroup)
	running.Add(n)
	var finished sync.WaitGroup
	results := make([]streamResult, n)
	for i := range n {
		finished.Go(func() {
			markRunning := sync.OnceFunc(running.Done)
			defer markRunning()
			results[i] = m.streamPrompt(fmt.Sprintf("Explain item %d of the tender.", i), length, func(chunks int) {
				if chunks == 5 {
					markRunning()
				}
			})
		})
	}
	return running, func() []streamResult {
		finished.Wait()
		return results
	}
}

// assertComplete checks that each stream ended normally with the complete text of its own prompt.
func assertComplete(t *testing.T, scenario string, results []streamResult) {
	t.Helper()
	for i, r := range results {
		if r.err != nil || r.text != r.want {
			t.Errorf("%s: stream %d has %d of %d bytes, prefix of the expected text %t, error %v", scenario, i,
				len(r.text), len(r.want), strings.HasPrefix(r.want, r.text), r.err)
		}
	}
}

// TestPausedDaemon guards against a daemon that was paused during its work, resumes and continues work that other
// daemons have taken over: streams that end normally with a part of their text, postings that run again, and an old
// configuration that stays in force.
func TestPausedDaemon(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, threeStages, map[string]int{"a": 1, "b": 1, "c": 1})
	f.waitVersion(1, "abc")
	f.createPreset("peak", "peak")
	setFaults(t, f.service, map[string]any{"latency_ms": 50})
	paused := f.byName["c1"]
	running, wait := paused.startStreams(6, 400)
	running.Wait()
	h := &history{results: make(map[string][]callResult)}
	var callers sync.WaitGroup
	for i := range 12 {
		key := fmt.Sprintf("key-%d", i)
		callers.Go(func() { h.add(key, paused.post(key)) })
	}
	waitFor(t, "the first posting to run", func() bool { return len(f.executions()) > 0 })
	paused.pause(h)
	for i := range 12 {
		key := fmt.Sprintf("key-%d", i)
		for _, name := range []string{"a1", "b1"} {
			callers.Go(func() { h.add(key, f.byName[name].post(key)) })
		}
	}
	if status := f.byName["a1"].switchTo("peak", 1); status != http.StatusOK {
		t.Errorf("the switch has status %d", status)
	}
	f.waitVersion(2, "ab")
	callers.Wait()
	paused.proc.signal(syscall.SIGCONT)
	f.waitVersion(2, "c")
	for i, r := range wait() {
		if !strings.HasPrefix(r.want, r.text) || r.err == nil && r.text != r.want {
			t.Errorf("stream %d of the paused daemon has the text %q (error %v), want %q", i, r.text, r.err, r.want)
		}
	}
	waitFor(t, "a posting at the resumed daemon", func() bool { return paused.post("after").ok() })
	_, wait = paused.startStreams(3, 40)
	assertComplete(t, "after the daemon resumed", wait())
	h.checkExecutions(f)
	h.checkOutcomes(f)
	f.assertNoViolations()
}
