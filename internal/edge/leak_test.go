package edge

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestSilencesLeaveNoReservations guards against reservations of paths that outlast their streams while engines fall
// silent at random.
func TestSilencesLeaveNoReservations(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	daemon := d.addDaemonAndAwaitPlacement()
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			d.stream(daemon, fmt.Sprint("s-", i))
		})
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			d.engines[rand.N(4)].UpdateFaults(func(f *edgeplatform.TargetFaults) {
				f.SilentFor, f.SilentAfter = time.Second+rand.N(600*time.Millisecond), rand.N(10)
			})
		}
	}()
	wg.Wait()
	close(stop)
	time.Sleep(300 * time.Millisecond)
	daemon.gateway.WithFleet(func(f *fleet.Fleet) {
		for id, state := range f.All {
			if state.InProgress != 0 || state.CacheInUse > 1e-6 {
				t.Errorf("%s: %d in progress, cache %v", id, state.InProgress, state.CacheInUse)
			}
		}
	})
}
