package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"
)

// entryKinds are faults of the list of targets: heartbeats that the store performs late, and entries of other writers.
var entryKinds = []faultKind{
	{"heartbeat late", (*faultInjector).heartbeatLate},
	{"entry of another writer", (*faultInjector).otherWriter},
}

const (
	// minWriteDelay and maxWriteDelay bound how late the store performs a write that got no response.
	minWriteDelay = time.Second
	maxWriteDelay = 6 * time.Second
)

// heartbeatLate has the store perform a heartbeat of a target late. A target that is gone by then is left out: a daemon that has
// started since cannot know that the entry is an old one.
func (f *faultInjector) heartbeatLate(random *rand.Rand, _ time.Duration) string {
	t := f.randomTarget(random)
	t.mu.Lock()
	entry, state := t.Entry(t.state), t.state
	t.mu.Unlock()
	if state == "" {
		return t.ID + " has no entry"
	}
	delay := minWriteDelay + time.Duration(random.Int64N(int64(maxWriteDelay-minWriteDelay)))
	time.Sleep(delay)
	performed := f.env.replaceEntry(t, random, entry)
	return fmt.Sprintf("%s, %q, %v late, performed %v", t.ID, state, delay, performed)
}

// otherWriter writes an entry that names no target at the key of a target, or at a key of its own until the end of the duration.
func (f *faultInjector) otherWriter(random *rand.Rand, duration time.Duration) string {
	t, other := f.randomTarget(random), f.randomTarget(random)
	entry := t.Entry("ready")
	variants := []map[string]any{
		{"version": nil, "coldLeftMs": nil, "seq": nil, "born": nil, "service": other.Service, "addr": other.Address()},
		{"seq": "1"}, {"born": nil}, {"state": "resting"}, {"slots": -1}, {"addr": 7},
		{"service": "other", "born": 1 << 50, "seq": 1 << 50},
		{"service": "llm", "routeKind": "small", "born": 1 << 50, "layers": map[string]any{"from": modelLayers, "target": modelLayers + 2}},
	}
	fields := variants[random.IntN(len(variants))]
	maps.Copy(entry, fields)
	maps.DeleteFunc(entry, func(_ string, value any) bool { return value == nil })
	if random.IntN(2) == 0 {
		performed := f.env.replaceEntry(t, random, entry)
		return fmt.Sprintf("%s, %v, performed %v", t.ID, fields, performed)
	}
	key := fmt.Sprintf("other-%d", random.Uint32())
	if err := f.env.store.Put("servers", key, entry); err != nil {
		f.env.t.Error(err)
	}
	time.Sleep(duration)
	f.env.store.Remove("servers", key)
	return fmt.Sprintf("%s, %v", key, fields)
}

// replaceEntry writes an entry in place of that of a target, which writes its own again with its next heartbeat. It reports false if the
// target has none.
func (env *environment) replaceEntry(t *target, random *rand.Rand, entry map[string]any) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	t.mu.Lock()
	present := t.state != "" && t.published != ""
	t.mu.Unlock()
	if !present {
		return false
	}
	if err := env.store.Put("servers", t.ID, entry); err != nil {
		env.t.Error(err)
	}
	t.forgetEntry(random)
	return true
}
