package lag

import (
	"testing"
	"time"
)

// TestHistory guards against states that are visible too early, and against a measurement that misses the last state
// before it.
func TestHistory(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h := NewHistory(start, 0, 200*time.Millisecond, 100*time.Millisecond)
	for ms := 10; ms <= 330; ms += 20 {
		h.Record(at(ms), ms)
	}
	for _, tc := range []struct{ now, value, measured int }{
		{340, 90, 100}, {399, 90, 100}, {400, 190, 200}, {500, 290, 300}, {600, 330, 400}, {10_000, 330, 9_800},
	} {
		value, measured, sequence := h.Visible(at(tc.now))
		if value != tc.value || !measured.Equal(at(tc.measured)) || sequence != uint64(tc.measured/100+1) {
			t.Errorf("at %d ms: value %d, measured %v, sequence %d; want %+v", tc.now, value, measured.Sub(start), sequence, tc)
		}
	}
	if len(h.entries) != 1 {
		t.Errorf("%d states are kept, want 1", len(h.entries))
	}
}
