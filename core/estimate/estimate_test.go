package estimate

import (
	"math"
	"testing"
	"time"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a mean that keeps old samples after a change, and against one that never returns to the prior, so that
// a target that was slow would not be tried again.
func TestMeanDecays(t *testing.T) {
	var m Mean
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		m.Observe(now, 10, time.Second)
	}
	if v := m.Value(now, time.Second, 1); v < 9 {
		t.Errorf("value %v after samples of 10", v)
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		m.Observe(now, 100, time.Second)
	}
	if v := m.Value(now, time.Second, 1); v < 85 {
		t.Errorf("value %v, 5 s after a change to 100", v)
	}
	if v := m.Value(now.Add(time.Minute), time.Second, 1); math.Abs(v-1) > 0.01 {
		t.Errorf("value %v after a minute without samples, want the prior 1", v)
	}
}

// Guards against a rate that drops while a target has little load, and against a restart that counts as processed
// tokens.
func TestRateKeepsHighest(t *testing.T) {
	var r Rate
	for i, tokens := range []uint64{0, 1000, 1010, 5} {
		r.Observe(start.Add(time.Duration(i)*time.Second), tokens, time.Minute)
	}
	if rate := r.Highest(); rate < 950 || rate > 1000 {
		t.Errorf("highest rate %v, want a little under 1000", rate)
	}
}

// Guards against windows that stay unequal between daemons that share a target.
func TestWindowsBecomeEqual(t *testing.T) {
	var first, second CongestionWindow
	inProgress := []int{90, 10}
	now := start
	for range 2000 {
		now = now.Add(250 * time.Millisecond)
		congested := inProgress[0]+inProgress[1] > 100
		first.Observe(now, inProgress[0], congested)
		second.Observe(now, inProgress[1], congested)
		inProgress = []int{int(first.Size()), int(second.Size())}
	}
	if ratio := first.Size() / second.Size(); ratio < 0.8 || ratio > 1.25 {
		t.Errorf("windows %v and %v", first.Size(), second.Size())
	}
}
