package dispatch

import (
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// TestStall guards against attempts that are given up for a silence of a sound engine although no other may follow, and
// against ones that are kept although their engine has ended or another attempt would serve the caller sooner.
func TestStall(t *testing.T) {
	const limit = 1200 * time.Millisecond
	for _, test := range []struct {
		name  string
		stall Stall
		want  bool
	}{
		{"engines answer", Stall{Idle: time.Second, Limit: limit, Replaceable: true}, false},
		{"engines answer, limit passed", Stall{Idle: limit, Limit: limit, Replaceable: true}, true},
		{"engines answer, no other attempt", Stall{Idle: 10 * limit, Limit: limit}, false},
		{"silent engine", Stall{Idle: 300 * time.Millisecond, Limit: limit, Silent: true, Replaceable: true}, true},
		{"silent engine, no other attempt", Stall{Idle: 1500 * time.Millisecond, Limit: limit, Silent: true}, false},
		{"engine silent for too long, no other attempt", Stall{Idle: fleet.SilenceLimit, Limit: limit, Silent: true}, true},
		{"engine silent for too long, no other attempt, begun", Stall{Idle: 10 * fleet.SilenceLimit, Limit: limit, Silent: true, Begun: true}, false},
		{"ended engine, no other attempt, begun", Stall{Idle: 300 * time.Millisecond, Limit: limit, Silent: true, Gone: true, Begun: true}, true},
		{"ended engine, no other attempt", Stall{Idle: 300 * time.Millisecond, Limit: limit, Silent: true, Gone: true}, true},
	} {
		if got := test.stall.Cancel(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
