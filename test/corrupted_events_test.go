package test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/hyssophoist/hyssophoist/internal/emulator/engine"
)

// TestCorruptedAndLateEvents guards against a caller that receives tokens of another request, attempt or position,
// tokens of steps that skipped or repeated a layer, or what a hanging engine sends after it resumes.
func TestCorruptedAndLateEvents(t *testing.T) {
	t.Parallel()
	f := deployFleet(t, threeStages, map[string]int{"a": 1})
	f.waitVersion(1, "a")
	m := f.members[0]
	for _, c := range []struct {
		target     string
		corruption engine.Corruption
	}{
		{"first", engine.OtherRequest}, {"first", engine.OtherAttempt}, {"first", engine.OtherPosition},
		{"first", engine.RepeatedEvent}, {"third", engine.SkippedLayer}, {"third", engine.RepeatedStage},
	} {
		before := m.failedAttempts()
		running, wait := m.startStreams(6, 250)
		running.Wait()
		setFaults(t, f.engines[c.target], map[string]any{"corruption": c.corruption, "corrupt_events": 2})
		assertComplete(t, string(c.corruption), wait())
		var faults engine.Faults
		getJSON(t, f.engines[c.target], engine.FaultsPath, &faults)
		if faults.CorruptEvents != 0 {
			t.Errorf("%s: %d of 2 events were not corrupted", c.corruption, faults.CorruptEvents)
		}
		// The emulator sends the right text even in events with a wrong request, attempt or position, so the text
		// alone does not show that the daemon checked these.
		if m.failedAttempts() == before {
			t.Errorf("%s: no attempt failed", c.corruption)
		}
	}
	// All streams use these two engines, the only ones of their stages.
	for _, target := range []string{"first", "third"} {
		before := m.failedAttempts()
		running, wait := m.startStreams(6, 500)
		running.Wait()
		setFaults(t, f.engines[target], map[string]any{"hanging": true})
		waitFor(t, "an attempt to fail at the hanging "+target, func() bool { return m.failedAttempts() > before })
		setFaults(t, f.engines[target], map[string]any{"hanging": false})
		assertComplete(t, "hanging "+target, wait())
	}
	f.assertNoViolations()
}

// failedAttempts returns the number of attempts with a result other than ok.
func (m *member) failedAttempts() int {
	_, metrics := get(m.fleet.t, m.admin+"/metrics")
	total := 0
	for line := range strings.Lines(metrics) {
		var count int
		name, value, _ := strings.Cut(line, " ")
		if strings.Contains(name, "attempts_total{") && !strings.Contains(name, `"ok"`) {
			if _, err := fmt.Sscan(value, &count); err == nil {
				total += count
			}
		}
	}
	return total
}
