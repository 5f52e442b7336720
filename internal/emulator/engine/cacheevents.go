package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/internal/emulator/wire"
)

// maxCacheEvents bounds the retained events; the oldest are dropped.
const maxCacheEvents = 4096

// cacheEventLog holds the most recent cache events.
type cacheEventLog struct {
	random   *rand.Rand
	sequence uint64
	entries  []loggedEvent
}

type loggedEvent struct {
	visibleAt time.Time
	event     engineapi.CacheEvent
}

// publishCacheEvent logs a cache event. With probability CacheEventLoss it drops the event instead, which leaves a gap
// in the sequence numbers. The caller holds e.mu.
func (e *Engine) publishCacheEvent(added, evicted []uint64) {
	if len(added) == 0 && len(evicted) == 0 {
		return
	}
	l := &e.cacheEvents
	l.sequence++
	if e.options.CacheEventLoss > 0 && l.random.Float64() < e.options.CacheEventLoss {
		return
	}
	l.entries = append(l.entries, loggedEvent{
		visibleAt: e.clock.Now().Add(e.options.CacheEventDelay),
		event:     engineapi.CacheEvent{Sequence: l.sequence, Added: added, Evicted: evicted},
	})
	if len(l.entries) > maxCacheEvents {
		l.entries = l.entries[1:]
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			wire.WriteError(w, http.StatusBadRequest, "parameter after is %q, not a sequence number", text)
			return
		}
	}
	response := engineapi.CacheEvents{Events: []engineapi.CacheEvent{}}
	e.mu.Lock()
	now := e.clock.Now()
	for _, logged := range e.cacheEvents.entries {
		if logged.event.Sequence > after && !logged.visibleAt.After(now) {
			response.Events = append(response.Events, logged.event)
		}
	}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, response)
}
