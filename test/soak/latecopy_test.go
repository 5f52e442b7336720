package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	copiesSeed = 1
	maxCopies  = 2
)

var copiesKind = faultKind{"target sends late copies", (*faultInjector).targetSendsCopies}

// TestLateCopiesSoak guards against a late copy of a response that is taken for the response to a later attempt, while other faults
// overlap: requests that may run once then run twice, or run and are refused.
func TestLateCopiesSoak(t *testing.T) {
	kinds := append(slices.Clone(faultKinds), slices.Repeat([]faultKind{copiesKind}, len(faultKinds))...)
	runSoak(t, testenv.Seed(t, copiesSeed), int(testenv.Steps(t, defaultSteps)), kinds, nil)
}

// copiesOf is what a fault reserves that makes a target send late copies.
type copiesOf struct{ *target }

// targetSendsCopies makes a target send copies of its responses to later requests. They excuse nothing, since the responses
// themselves are sound. In half of the cases the target also refuses each request once, so that its next attempts follow soon.
func (f *faultInjector) targetSendsCopies(random *rand.Rand, duration time.Duration) string {
	t := f.randomTarget(random)
	if !f.reserve(copiesOf{t}) {
		return skipped
	}
	defer f.release(copiesOf{t})
	copies, refuses := 1+random.IntN(maxCopies), random.IntN(2) == 0
	if refuses && f.reserve(t.Target) {
		defer f.release(t.Target)
		defer t.faults.record(time.Now())
		t.setMisbehaviour(edgeplatform.TargetFaults{RefuseFirst: true})
		defer t.setMisbehaviour(edgeplatform.TargetFaults{})
	}
	t.UpdateFaults(func(faults *edgeplatform.TargetFaults) { faults.LateCopies = copies })
	time.Sleep(duration)
	t.UpdateFaults(func(faults *edgeplatform.TargetFaults) { faults.LateCopies = 0 })
	return fmt.Sprintf("%s, %d copies", t.ID, copies)
}
