package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Guards against capacity that is not divided by account weight, ignored priorities, and a blocked account that
// blocks the other accounts.
func TestDispatchSharesByWeight(t *testing.T) {
	q := NewQueue()
	q.SetWeight("heavy", 3)
	q.SetWeight("light", 1)
	for i := range 100 {
		for _, id := range []entity.AccountID{"heavy", "light", "blocked"} {
			q.Push(Item{Request: entity.RequestID(fmt.Sprintf("%s%d", id, i)), Account: id, Work: 10})
		}
	}
	q.Push(Item{Request: "urgent", Account: "light", Priority: entity.HighPriority, Work: 10})
	started := map[entity.AccountID]int{}
	var firstLight entity.RequestID
	total := 0
	q.Dispatch(func(item Item) Decision {
		if item.Account == "blocked" || total == 80 {
			return Blocked
		}
		if item.Account == "light" && firstLight == "" {
			firstLight = item.Request
		}
		started[item.Account]++
		total++
		return Started
	})
	if started["heavy"] != 60 || started["light"] != 20 {
		t.Errorf("started %v, want 60 heavy and 20 light", started)
	}
	if firstLight != "urgent" {
		t.Errorf("first request of light is %s", firstLight)
	}
}

// Guards against a wait estimate for a small account that includes the whole backlog of a flooding account, and
// against a full queue that rejects the small account's request instead of one of the flooding account.
func TestFloodDoesNotDelaySmallAccount(t *testing.T) {
	q := NewQueue()
	for i := range 50 {
		q.Push(Item{Request: entity.RequestID(fmt.Sprint(i)), Account: "flood", Work: 100})
	}
	if wait := q.EstimatedWait("small", 100, 100); wait != time.Second {
		t.Errorf("wait of the small account is %v, want 1s", wait)
	}
	if wait := q.EstimatedWait("flood", 100, 100); wait != 50*time.Second {
		t.Errorf("wait of the flooding account is %v, want 50s", wait)
	}
	if item, ok := q.EvictionCandidate("small", 100); !ok || item.Request != "49" {
		t.Errorf("eviction candidate is %v, %v, want the newest request of the flooding account", item, ok)
	}
	if _, ok := q.EvictionCandidate("flood", 100); ok {
		t.Error("the flooding account evicts a request")
	}
}
