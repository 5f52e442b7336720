package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

// Guards against KV above the capacity, and against eviction of KV that a step in progress uses.
func TestKVStoreEvictsLeastRecentlyUsed(t *testing.T) {
	s := newKVStore(100)
	for _, request := range []string{"a", "b", "c"} {
		entry, err := s.reserve(request, 30)
		if err != nil {
			t.Fatal(err)
		}
		entry.activeSteps--
	}
	a, err := s.reserve("a", 40)
	if err != nil || s.usedTokens != 100 {
		t.Fatalf("error %v, %d tokens used", err, s.usedTokens)
	}
	if _, err := s.reserve("d", 60); err != nil || s.get("b") != nil || s.get("c") != nil || s.get("a") == nil {
		t.Errorf("error %v, entries %v", err, s.entries)
	}
	if _, err := s.reserve("e", 1); err == nil || s.get("e") != nil || s.usedTokens != 100 {
		t.Error("KV used by a step in progress was evicted")
	}
	a.activeSteps--
	if _, err := s.reserve("e", 1); err != nil || s.get("a") != nil || s.usedTokens != 61 {
		t.Errorf("error %v, %d tokens used", err, s.usedTokens)
	}
}

// Guards against eviction of the beginning of a prefix before its end.
func TestPrefixCacheEvictsSuffixFirst(t *testing.T) {
	c := newPrefixCache(4)
	steps := []struct {
		blocks         []uint64
		matched        int
		added, evicted []uint64
	}{
		{[]uint64{1, 2, 3}, 0, []uint64{3, 2, 1}, nil},
		{[]uint64{1, 2, 4}, 2, []uint64{4}, nil},
		{[]uint64{8, 9}, 0, []uint64{9, 8}, []uint64{3, 4}},
		{[]uint64{1, 2, 3}, 2, []uint64{3}, []uint64{9}},
		{[]uint64{21, 22, 23, 24, 25, 26}, 0, []uint64{24, 23, 22, 21}, []uint64{8, 3, 2, 1}},
	}
	for i, step := range steps {
		matched := c.match(step.blocks)
		added, evicted := c.add(step.blocks)
		if matched != step.matched || !cmp.Equal(added, step.added) || !cmp.Equal(evicted, step.evicted) {
			t.Errorf("step %d: matched %d, added %v, evicted %v; want %+v", i, matched, added, evicted, step)
		}
	}
	if got := len(c.clear()); got != 4 || c.match([]uint64{21}) != 0 {
		t.Errorf("%d blocks cleared", got)
	}
}

// Guards against cache events that are visible before CacheEventDelay, and against dropped events that leave no gap in
// the sequence numbers.
func TestCacheEventDelayAndLoss(t *testing.T) {
	e, manual := manualEngine(t, Options{CacheEventDelay: time.Second, CacheEventLoss: 0.5, Seed: 7})
	for block := range uint64(100) {
		e.mu.Lock()
		e.publishCacheEvent([]uint64{block}, nil)
		e.mu.Unlock()
	}
	visibleEvents := func(after uint64) (events []engineapi.CacheEvent) {
		getJSON(t, e, engineapi.CacheEventsPath+"?after="+formatUint(after), &events)
		return events
	}
	if got := visibleEvents(0); len(got) != 0 {
		t.Fatalf("%d events are visible before the delay", len(got))
	}
	manual.Advance(time.Second)
	events := visibleEvents(0)
	if len(events) < 20 || len(events) > 80 {
		t.Errorf("%d of 100 events are visible, want 20 to 80", len(events))
	}
	for _, event := range events {
		if event.Added[0] != event.Sequence-1 {
			t.Errorf("event %+v", event)
		}
	}
	if rest := visibleEvents(events[9].Sequence); len(rest) != len(events)-10 {
		t.Errorf("%d events after the tenth of %d", len(rest), len(events))
	}
}

// Guards against an import of layers whose KV no engine holds.
func TestCombineKV(t *testing.T) {
	states := []engineapi.KVState{
		{From: 0, To: 4, Tokens: 50, Source: "a"}, {From: 4, To: 8, Tokens: 40, Source: "b"}, {},
	}
	cases := []struct {
		from, to, limit, want int
	}{{0, 4, 100, 50}, {2, 6, 100, 40}, {0, 4, 30, 30}, {6, 9, 100, 0}}
	for _, tc := range cases {
		got, ok := combineKV(states, engineapi.Stage{Target: "new", From: tc.from, To: tc.to}, tc.limit)
		if ok != (tc.want > 0) || got.Tokens != tc.want || (ok && (got.From != tc.from || got.To != tc.to)) {
			t.Errorf("%+v: %+v, %v", tc, got, ok)
		}
	}
	if _, ok := combineKV(states, engineapi.Stage{Target: "a", From: 0, To: 4}, 100); ok {
		t.Error("a stage imports its own KV")
	}
}
