package fleet

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestAttemptsThatFailTogetherCountOnce guards against a suspicion of four seconds after a single silence that many streams met.
func TestAttemptsThatFailTogetherCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newEngineFleet(2)
	for n := range 10 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		if got := f.RecordFailure(at, "a0").Sub(at); got != minSuspicionTime {
			t.Fatalf("failure %d: suspected for %v, want %v", n+1, got, minSuspicionTime)
		}
	}
	later := now.Add(time.Second)
	if got := f.RecordFailure(later, "a0").Sub(later); got != 2*minSuspicionTime {
		t.Errorf("failure after the suspicion: suspected for %v, want %v", got, 2*minSuspicionTime)
	}
}

// TestAnswerEndsSuspicionForSilence guards against an engine that stays out of use after a silence although it answers again.
func TestAnswerEndsSuspicionForSilence(t *testing.T) {
	const ttl = 1400 * time.Millisecond
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		before func(f *Fleet)
		usable bool
	}{
		"silent": {func(f *Fleet) {
			f.RecordNoAnswer(now, "a0", ttl)
			f.RecordFailure(now, "a0")
		}, true},
		"failed although it answers": {func(f *Fleet) { f.RecordFailure(now, "a0") }, false},
		"failed, then silent": {func(f *Fleet) {
			f.RecordFailure(now, "a0")
			f.RecordNoAnswer(now, "a0", ttl)
			f.RecordFailure(now, "a0")
		}, false},
	} {
		f := newEngineFleet(2)
		test.before(f)
		if f.Get("a0").Usable(now) {
			t.Errorf("%s: usable before it answers", name)
		}
		f.RecordReport(now.Add(time.Millisecond), "a0", Report{Born: 1})
		if got := f.Get("a0").Usable(now.Add(time.Millisecond)); got != test.usable {
			t.Errorf("%s: usable after an answer: %v, want %v", name, got, test.usable)
		}
	}
}

// TestSilentEngineIsAskedOften guards against an engine that is out of use long after the end of a silence.
func TestSilentEngineIsAskedOften(t *testing.T) {
	const interval = 600 * time.Millisecond
	begin := time.Unix(1000, 0)
	none := func(entity.TargetID) bool { return false }
	for name, test := range map[string]struct {
		policy ProbePolicy
		since  time.Duration
		after  time.Duration
		due    bool
	}{
		"for the zone":                   {ProbePolicy{Interval: interval, ForZone: true, InUse: none}, 0, retryProbeDelay, true},
		"just asked":                     {ProbePolicy{Interval: interval, ForZone: true, InUse: none}, 0, retryProbeDelay / 2, false},
		"streams wait for it":            {ProbePolicy{Interval: interval, InUse: func(id entity.TargetID) bool { return id == "a0" }}, 0, retryProbeDelay, true},
		"not needed here":                {ProbePolicy{Interval: interval, InUse: none}, 0, retryProbeDelay, false},
		"silent for long":                {ProbePolicy{Interval: interval, ForZone: true, InUse: none}, 5 * time.Second, retryProbeDelay, false},
		"silent for long, interval over": {ProbePolicy{Interval: interval, ForZone: true, InUse: none}, 5 * time.Second, interval, true},
	} {
		f := newEngineFleet(2)
		last := begin.Add(test.since)
		f.RecordNoAnswer(begin, "a0", time.Minute)
		f.RecordNoAnswer(last, "a0", time.Minute)
		if got := len(f.DueProbes(last.Add(test.after), test.policy)) == 1; got != test.due {
			t.Errorf("%s: due %v, want %v", name, got, test.due)
		}
	}
}

// TestUnaskedEngineIsNotLost guards against layers that are placed elsewhere although no query shows that the engine is still silent.
func TestUnaskedEngineIsNotLost(t *testing.T) {
	const ttl = 1400 * time.Millisecond
	begin := time.Unix(1000, 0)
	for _, test := range []struct {
		unanswered []time.Duration
		at         time.Duration
		lost       bool
	}{
		// Silent for 1.6 s: the last query that it left unanswered was sent just before the end.
		{[]time.Duration{0, 800 * time.Millisecond, 1600 * time.Millisecond}, 2500 * time.Millisecond, false},
		{[]time.Duration{0, 1200 * time.Millisecond}, SilenceLimit, false},
		{[]time.Duration{0, 1200 * time.Millisecond, SilenceLimit}, SilenceLimit, true},
	} {
		f := newEngineFleet(4)
		for _, at := range test.unanswered {
			f.RecordNoAnswer(begin.Add(at), "a0", ttl)
		}
		if got := f.LostTargets(begin.Add(test.at))["a0"]; got != test.lost {
			t.Errorf("unanswered at %v: lost %v after %v, want %v", test.unanswered, got, test.at, test.lost)
		}
	}
}
