package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
)

// pollOnly is a PollSet with one target and the list of instances.
type pollOnly entity.TargetID

func (p pollOnly) PollsTarget(id entity.TargetID) bool { return id == entity.TargetID(p) }
func (pollOnly) PollsInstances() bool                  { return true }
func (pollOnly) PollInterval() time.Duration           { return LoadPollInterval }

type fixedInstances []platformapi.Instance

func (f fixedInstances) ListInstances(context.Context) ([]platformapi.Instance, error) { return f, nil }

// Guards against cache events that are posted twice or are missed after an engine has restarted, and against polls of
// targets that other daemons poll.
func TestPoller(t *testing.T) {
	var sequence, events, foreignPolls atomic.Uint64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engineapi.LoadPath {
			_ = json.NewEncoder(w).Encode(engineapi.LoadReport{Sequence: sequence.Add(1), AgeMS: 250, Queued: 3, KVUsed: 0.5})
			return
		}
		// Each reply repeats the last event that the poller already has.
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		reply := engineapi.CacheEvents{}
		for s := max(after, 1); s <= events.Load(); s++ {
			reply.Events = append(reply.Events, engineapi.CacheEvent{Sequence: s, Added: []uint64{s}})
		}
		_ = json.NewEncoder(w).Encode(reply)
	}))
	defer server.Close()
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { foreignPolls.Add(1) }))
	defer other.Close()
	m := metrics.New()
	loop := NewLoop(LoopOptions{Metrics: m, Engines: engine.NewClient(engine.ClientOptions{})})
	loop.applyConfiguration(&entity.Configuration{Version: 1, Preset: entity.Preset{Targets: []entity.Target{
		engineTarget("x", server.URL), engineTarget("other", other.URL),
	}}})
	p := newPoller(loop, loop.options.Engines, Dependencies{
		PollSet: pollOnly("x"), Instances: fixedInstances{{ID: "x", State: "leaving"}},
	}, m)
	// poll polls the targets once and returns the sequence numbers of the cache events posted to the router.
	poll := func() (sequences []uint64) {
		p.pollTargets(t.Context())
		inputs := loop.inbox
		loop.inbox = nil
		load, ok := inputs[0].(message.LoadReported)
		if !ok || load.Target != "x" || load.Queued != 3 || load.KVUsed != 0.5 || load.Age.Milliseconds() != 250 {
			t.Errorf("load report is %+v", inputs[0])
		}
		for _, input := range inputs[1:] {
			sequences = append(sequences, input.(message.CacheChanged).Sequence)
		}
		return sequences
	}
	events.Store(2)
	if got := poll(); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("first events are %v", got)
	}
	events.Store(3)
	if got := poll(); len(got) != 1 || got[0] != 3 {
		t.Errorf("next events are %v", got)
	}
	sequence.Store(0) // the engine has restarted
	events.Store(1)
	if got := poll(); len(got) != 1 || got[0] != 1 {
		t.Errorf("events after a restart are %v", got)
	}
	if foreignPolls.Load() != 0 {
		t.Errorf("a target of another daemon was polled %d times", foreignPolls.Load())
	}
	p.pollInstances(t.Context())
	if listed, ok := loop.inbox[0].(message.InstancesListed); !ok || listed.Instances[0].State != message.InstanceLeaving {
		t.Errorf("instances are %+v", loop.inbox[0])
	}
}
