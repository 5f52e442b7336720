package isolation

import (
	"testing"
	"time"
)

// TestIsolation guards against an instance that counts as isolated because of one failed connection or a service without
// targets, and against one that goes on to count so after a target has accepted a connection.
func TestIsolation(t *testing.T) {
	for _, test := range []struct {
		name     string
		accepted []bool
		asked    int
		want     bool
	}{
		{"not checked", nil, 3, false},
		{"a target accepts", []bool{true}, 3, false},
		{"no target accepts", []bool{false}, 3, true},
		{"no targets", []bool{false}, 0, false},
		{"accepts later", []bool{false, false, true}, 3, false},
	} {
		d, now := New(), time.Unix(1000, 0)
		d.RecordFailure(now, "s")
		for _, accepted := range test.accepted {
			if due := d.BeginChecks(now); len(due) != 1 {
				t.Fatalf("%s: %d services to check", test.name, len(due))
			}
			d.RecordCheck("s", accepted, test.asked)
			now = now.Add(isolatedCheckInterval)
		}
		if got := d.Isolated("s"); got != test.want || d.Isolated("other") || d.Count() != map[bool]int{true: 1}[got] {
			t.Errorf("%s: isolated %v, want %v", test.name, got, test.want)
		}
	}
}

// TestChecksAreBounded guards against a check for each failed connection, and against none while an instance is isolated.
func TestChecksAreBounded(t *testing.T) {
	d, start := New(), time.Unix(1000, 0)
	count := func(accepted bool, fail bool) (checks int) {
		for ms := range 2000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if fail {
				d.RecordFailure(now, "s")
			}
			for _, id := range d.BeginChecks(now) {
				checks++
				d.RecordCheck(id, accepted, 3)
			}
		}
		start = start.Add(time.Minute)
		return checks
	}
	for _, test := range []struct {
		accepted, fail bool
		want           int
	}{{true, false, 0}, {true, true, 4}, {false, true, 10}, {false, false, 10}, {true, false, 1}, {true, false, 0}} {
		if got := count(test.accepted, test.fail); got != test.want {
			t.Errorf("accepted %v, failures %v: %d checks in 2 s, want %d", test.accepted, test.fail, got, test.want)
		}
	}
}
