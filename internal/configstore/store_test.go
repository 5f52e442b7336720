package configstore_test

import (
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	emulator "github.com/hyssophoist/hyssophoist/internal/emulator/platform"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

func newStore(t *testing.T, options configstore.Options) (*configstore.Store, *emulator.Platform) {
	p := emulator.New(emulator.Options{})
	server := httptest.NewServer(p)
	t.Cleanup(func() { server.Close(); p.Close() })
	options.Table = platform.NewClient(platform.ClientOptions{URL: server.URL, Timeout: time.Second})
	return configstore.New(options), p
}

func change(id string, expect uint64) rollout.Change {
	return rollout.Change{ID: id, By: "ops-" + id, Expect: expect, Preset: &rollout.PresetRef{Name: id, Revision: 1}}
}

// TestLostResponseIsReadBack guards against a lost response that is reported as a failure, even after later changes to
// the row, and against a retried change that takes effect twice.
func TestLostResponseIsReadBack(t *testing.T) {
	store, p := newStore(t, configstore.Options{ResolveTimeout: 30 * time.Second})
	p.SetFaults(emulator.Faults{LoseResponses: 1})
	accepted, err := store.Apply(t.Context(), change("a", 0))
	if err != nil || accepted.Version != 1 {
		t.Fatalf("Apply with a lost response = %+v, %v, want version 1", accepted, err)
	}
	if _, err := store.Apply(t.Context(), change("b", 1)); err != nil {
		t.Fatal(err)
	}
	accepted, err = store.Apply(t.Context(), change("a", 0))
	if err != nil || accepted.Version != 1 || accepted.Current.Version != 2 {
		t.Errorf("repeated change after a later one = %+v, %v, want version 1 of 2", accepted, err)
	}
	_, err = store.Apply(t.Context(), change("c", 0))
	conflict := configstore.AsConflict(err)
	if errkind.Of(err) != errkind.Conflict || conflict.Current.ChangedBy != "ops-b" || conflict.LastChange.Change.ID != "b" {
		t.Errorf("late change: %v, want a conflict with change b", err)
	}
	entries, err := store.Audit(t.Context(), 0, 10)
	if err != nil || len(entries) != 2 || entries[0].Change.ID != "b" || entries[0].Before.Preset.Name != "a" {
		t.Errorf("Audit = %+v, %v, want changes b and a", entries, err)
	}
}

// TestUnknownOutcomeIsReported guards against a change that is reported as accepted or failed although its outcome is
// unknown: the platform drops the connection of each write, and reading the row back at its old version does not rule
// out that the write is delayed and still takes effect.
func TestUnknownOutcomeIsReported(t *testing.T) {
	store, p := newStore(t, configstore.Options{ResolveTimeout: time.Second})
	if _, err := store.Apply(t.Context(), change("a", 0)); err != nil {
		t.Fatal(err)
	}
	p.SetFaults(emulator.Faults{Outage: emulator.DroppingOutage, OutageOfWrites: true})
	if _, err := store.Apply(t.Context(), change("b", 1)); errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("Apply without any response: %v, want %s", err, errkind.OutcomeUnknown)
	}
	p.SetFaults(emulator.Faults{Outage: emulator.RefusingOutage})
	if _, err := store.Apply(t.Context(), change("c", 1)); errkind.Of(err) != errkind.PlatformUnavailable {
		t.Errorf("Apply during an outage: %v, want %s", err, errkind.PlatformUnavailable)
	}
}

// TestPresets guards against a preset that is stored twice or lost, and against a listing that includes bodies or omits
// names that sort between a name and its revisions.
func TestPresets(t *testing.T) {
	store, p := newStore(t, configstore.Options{ResolveTimeout: 30 * time.Second})
	for i, name := range []string{"day", "day-2", "day", "night"} {
		p.SetFaults(emulator.Faults{LoseResponses: i % 2})
		preset := configstore.NewPreset{Preset: entity.Preset{Name: name}, ChangeID: strconv.Itoa(i)}
		ref, err := store.CreatePreset(t.Context(), preset)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := store.CreatePreset(t.Context(), preset); err != nil || again != ref {
			t.Errorf("repeated creation of %s = %s, %v", ref, again, err)
		}
	}
	heads, err := store.Presets(t.Context())
	if got := fmt.Sprint(len(heads), heads[0].Name, heads[0].Revision, heads[1].Name, heads[2].Name); err != nil || got != "3day2day-2night" {
		t.Errorf("Presets = %+v, %v", heads, err)
	}
	preset, err := store.Preset(t.Context(), rollout.PresetRef{Name: "day", Revision: 2})
	if err != nil || preset.Revision != 2 {
		t.Errorf("Preset = %+v, %v", preset, err)
	}
	if _, err := store.Preset(t.Context(), rollout.PresetRef{Name: "day", Revision: 3}); errkind.Of(err) != errkind.NotFound {
		t.Errorf("absent revision: %v", err)
	}
}

// operation is one switch or read in the history; result is the response that the operator got.
type operation struct {
	id     string // empty for a read
	expect uint64
}

type result struct {
	kind    errkind.Kind // empty for success
	version uint64
	id      string
}

type state struct {
	version uint64
	id      string
}

// switchModel is the sequential specification of changes: a change succeeds if and only if its expected version is in
// force. A change with an unknown outcome may or may not have taken effect.
var switchModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(s, input, output any) []any {
		current, in, out := s.(state), input.(operation), output.(result)
		next := state{version: in.expect + 1, id: in.id}
		switch {
		case in.id == "":
			if out.version == current.version && out.id == current.id {
				return []any{current}
			}
		case out.kind == "" && current.version == in.expect && out.version == next.version:
			return []any{next}
		case out.kind == errkind.OutcomeUnknown && current.version == in.expect:
			return []any{current, next}
		case out.kind == errkind.OutcomeUnknown, out.kind == errkind.PlatformUnavailable:
			return []any{current}
		case out.kind == errkind.Conflict && current.version != in.expect:
			return []any{current}
		}
		return nil
	},
}

// TestRandomisedSwitchHistories guards against histories of concurrent switches that are not linearizable: two switches
// that succeed from the same version, a conflict without a successful switch, or a success that is lost. Meanwhile
// responses are lost and writes are delayed or fail.
func TestRandomisedSwitchHistories(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 24)
	store, p := newStore(t, configstore.Options{ResolveTimeout: 10 * time.Second, RetryInterval: 20 * time.Millisecond})
	const operators = 5
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	var group sync.WaitGroup
	for client := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			for step := range steps {
				if random.IntN(3) == 0 {
					p.SetFaults(emulator.Faults{
						LoseShare: 0.4, FailWrites: random.IntN(2), LateWrites: random.IntN(2), LateMS: 1200, DelayMS: int64(random.IntN(8)),
					})
				}
				in, out, call := operate(t, store, fmt.Sprintf("%d-%d", client, step), random, begin)
				returned := time.Since(begin).Nanoseconds()
				if out.kind == errkind.OutcomeUnknown {
					returned = 1 << 62 // it may take effect at any later time
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: returned})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	outcomes := map[errkind.Kind]int{}
	for _, op := range history {
		outcomes[op.Output.(result).kind]++
	}
	t.Logf("outcomes: %v, platform: %+v", outcomes, p.Counts())
	if verdict := porcupine.CheckOperationsTimeout(switchModel.ToModel(), history, time.Minute); verdict != porcupine.Ok {
		t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: history is %s", seed, steps, verdict)
	}
	if p.Counts().Lost == 0 || outcomes[errkind.Conflict] == 0 {
		t.Errorf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: no response was lost or no conflict arose", seed, steps)
	}
}

// operate reads the configuration and, in two cases out of three, replaces it. It returns the last operation, its
// result and the time at which it was called.
func operate(
	t *testing.T, store *configstore.Store, id string, random *rand.Rand, begin time.Time,
) (operation, result, int64) {
	call := time.Since(begin).Nanoseconds()
	current, err := store.Current(t.Context())
	if err != nil {
		t.Errorf("read: %v", err)
		return operation{}, result{}, call
	}
	read := result{}
	if current != nil {
		read = result{version: current.Version, id: current.ChangeID}
	}
	if random.IntN(3) == 0 {
		return operation{}, read, call
	}
	call = time.Since(begin).Nanoseconds()
	accepted, err := store.Apply(t.Context(), change(id, read.version))
	if err != nil {
		return operation{id: id, expect: read.version}, result{kind: errkind.Of(err)}, call
	}
	return operation{id: id, expect: read.version}, result{version: accepted.Version, id: id}, call
}
