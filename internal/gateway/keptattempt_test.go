package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// TestResumedAttemptIsNotCancelled guards against an attempt that is cancelled although its engine goes on while a reroute is
// tried in vain.
func TestResumedAttemptIsNotCancelled(t *testing.T) {
	g := New(Options{Engines: &fakeEngines{dead: map[entity.TargetID]bool{"b": true}}})
	s := addStream(g, "s", time.Minute, pathThrough("a", "b"))
	cancelled := false
	w := &watchdog{inspector: g.inspector, lastArrival: time.Now().Add(-time.Second), timer: time.NewTimer(time.Hour)}
	w.attempt = watchedAttempt{
		requestID: "s", targets: s.targets, targetsWithoutProgress: s.targetsWithoutProgress,
		stallTimeout: func() time.Duration { return time.Minute }, replaceable: func() bool { return true },
		reserveNext: func([]fleet.Target, bool) bool { return true },
		reroute: func(context.Context, []fleet.Target) bool {
			w.recordArrival()
			return false
		},
		cancel: func() { cancelled = true }, begun: func() bool { return true },
	}
	w.check(context.Background())
	defer w.stop()
	if cancelled {
		t.Error("the attempt was cancelled right after an event")
	}
}

// modelGateway returns a gateway with one service of two layers, and the engines a and a2 for the first layer and b for the
// second one.
func modelGateway() (*Gateway, *routing.Service) {
	g := New(Options{Engines: &fakeEngines{}, Zone: "a", RetryLimit: retry.Limit{Ratio: 1, Slack: 1000, Span: time.Second}})
	g.retryEpoch = g.retryEpoch.Add(-time.Minute)
	service := &routing.Service{ID: "llm", Engine: &routing.Engine{
		Layers: 2, LayerBytes: 1e9, KVBytesPerToken: 3000, PrefillRate: 1000, StepTime: time.Millisecond, MaxSequences: 100,
		Cards: map[string]routing.Card{"card": {MemoryBytes: 4e9, DecodeFactor: 1, PrefillFactor: 1}},
	}}
	for id, from := range map[entity.TargetID]int{"a": 0, "a2": 0, "b": 1} {
		g.dispatcher.Fleet.Put(fleet.Target{
			ID: id, Service: "llm", Zone: "a", Card: "card", Born: 1, Layers: entity.LayerRange{From: from, To: from + 1},
		})
	}
	return g, service
}

// modelStream returns a stream of the service, with its path reserved.
func modelStream(t *testing.T, g *Gateway, service *routing.Service, prompt float64) *stream {
	t.Helper()
	s := addStream(g, "s", time.Minute, nil)
	s.service, s.avoid = service, map[entity.TargetID]bool{}
	s.route = &routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 2}
	s.size.Prompt = prompt
	if s.choosePath() == nil {
		t.Fatal("no path")
	}
	return s
}

// TestNextPathMayShareEngines guards against a next path that is not found because the attempt that it replaces still counts
// on the engines that both have in common.
func TestNextPathMayShareEngines(t *testing.T) {
	g, service := modelGateway()
	card := service.Engine.Cards["card"]
	s := modelStream(t, g, service, 0.2*service.Engine.CacheCapacity(card, 1))
	if !s.reserveNext(context.Background(), s.path.Targets()[:1], true) {
		t.Fatal("no next path with free cache")
	}
	s.releaseNext()
	s.release()
	g, service = modelGateway()
	s = modelStream(t, g, service, 0.4*service.Engine.CacheCapacity(card, 1))
	if !s.reserveNext(context.Background(), s.path.Targets()[:1], true) {
		t.Error("no next path although the engine has the cache as soon as the attempt has ended")
	}
	s.release()
	if s.choosePath() == nil {
		t.Error("no path after the attempt")
	}
}

// TestRejectedNextPathAddsNoLoad guards against sound engines that count as loaded because paths through them were chosen
// for streams that wait, and not used.
func TestRejectedNextPathAddsNoLoad(t *testing.T) {
	g, service := modelGateway()
	s := modelStream(t, g, service, 100)
	first := s.path.Stages[0].Target
	other := entity.TargetID("a2")
	if first.ID == other {
		other = "a"
	}
	for range 3 {
		g.recordFailure(other, "s", "test")
	}
	before := g.dispatcher.Fleet.Get("b").CallsSinceShared
	for range 5 {
		if s.reserveNext(context.Background(), []fleet.Target{first}, true) {
			t.Fatal("a path through a suspected engine was taken")
		}
	}
	if after := g.dispatcher.Fleet.Get("b").CallsSinceShared; after != before {
		t.Errorf("%d calls started since the loads were shared, want %d", after, before)
	}
}

// TestBegunStreamIsReplaceableAfterRefusals guards against a begun stream that is left on a dead engine because it was sent
// maxSends times, although it may be sent maxBegunSends times.
func TestBegunStreamIsReplaceableAfterRefusals(t *testing.T) {
	g, service := modelGateway()
	s := modelStream(t, g, service, 100)
	s.headWritten.Store(true)
	s.eventForwarded.Store(true)
	if s.sends = maxSends; s.sends < s.sendLimit() && !s.replaceable(s.sends) {
		t.Error("another attempt may follow, but not if the attempt in progress stalls")
	}
}
