package tablecache

import (
	"testing"
	"time"
)

// TestReadPolicy guards against a reader whose calls are so long that the others read the store while it is well, and
// against reads of the others that come too late for the bound or all at once.
func TestReadPolicy(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 4 * time.Second} {
		policy := ReadPolicy{Bound: bound}
		// A change takes up to one period of the exchange of loads from the reader to the others.
		const exchangePeriod = 250 * time.Millisecond
		wait := policy.PollWait(Role{Reader: true, Followed: true}, 0)
		first := policy.ReadAt(start, Role{}).Sub(start)
		if first <= wait+exchangePeriod {
			t.Errorf("bound %v: other instances read after %v, the calls of the reader take %v", bound, first, wait)
		}
		last := policy.ReadAt(start, Role{Rank: 1000}).Sub(start)
		if last >= bound {
			t.Errorf("bound %v: the last instance reads after %v", bound, last)
		}
		if next := policy.ReadAt(start, Role{Rank: 1}).Sub(start); next <= first {
			t.Errorf("bound %v: instances of ranks 0 and 1 read after %v and %v", bound, first, next)
		}
	}
}

// TestPollWait guards against a reader that takes longer to confirm its copy after a pause between two reads, against
// an instance that waits in the store although others read for it, and against frequent calls by a reader that nobody
// relies on.
func TestPollWait(t *testing.T) {
	policy := ReadPolicy{Bound: 4 * time.Second}
	for _, test := range []struct {
		name string
		role Role
		age  time.Duration
		want time.Duration
	}{
		{"just confirmed", Role{Reader: true, Followed: true}, 0, 2 * time.Second},
		{"confirmed before a pause", Role{Reader: true, Followed: true}, 300 * time.Millisecond, 1700 * time.Millisecond},
		{"confirmed long ago", Role{Reader: true, Followed: true}, time.Minute, 0},
		{"reader of its own", Role{Reader: true}, 0, maxPollWait},
		{"reader of its own, for other zones", Role{Reader: true, ServesZones: true}, time.Second, 4 * time.Second},
		{"followed, for other zones", Role{Reader: true, Followed: true, ServesZones: true}, 0, 2 * time.Second},
		{"no reader", Role{}, 0, 0},
	} {
		if got := policy.PollWait(test.role, test.age); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestSilentAfter guards against a silent connection that the only reader of a deployment takes for one without changes, and against calls
// that end early although others find out.
func TestSilentAfter(t *testing.T) {
	policy := ReadPolicy{Bound: 2 * time.Second}
	for _, test := range []struct {
		role Role
		want time.Duration
	}{
		{Role{Reader: true, ServesZones: true}, 2400 * time.Millisecond},
		{Role{Reader: true, Followed: true, ServesZones: true}, 0},
		{Role{Reader: true}, 0},
		{Role{ServesZones: true}, 0},
	} {
		if got := policy.SilentAfter(test.role, policy.PollWait(test.role, 0)); got != test.want {
			t.Errorf("%+v: %v, want %v", test.role, got, test.want)
		}
	}
}
