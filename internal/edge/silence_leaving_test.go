package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
)

// TestSilentStreamWhoseEnginesLeave guards against streams that are given up because their engines, which are sound, send
// nothing for a second or so and no other engines can serve them: all of them leave, or are removed from the list.
func TestSilentStreamWhoseEnginesLeave(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*deployment, *edgeplatform.Target){
		"engines leave":   func(d *deployment, engine *edgeplatform.Target) { d.register(engine, "draining") },
		"engines removed": func(d *deployment, engine *edgeplatform.Target) { d.store.Remove("servers", engine.ID) },
		"other zone leaves": func(d *deployment, engine *edgeplatform.Target) {
			if engine.Zone == "b" {
				d.register(engine, "draining")
			}
		},
	} {
		for _, silence := range []time.Duration{time.Second, soundSilence} {
			for _, begun := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", ", silence, ", begun ", begun), func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					daemon := d.addDaemonAndAwaitPlacement()
					for _, engine := range d.engines {
						faults := edgeplatform.TargetFaults{SilentFor: silence}
						if begun {
							faults.SilentAfter = streamEvents / 2
						}
						engine.SetFaults(faults)
					}
					stream := d.sendAll(daemon, "x-", 4*time.Second)[2]
					d.waitUntil("the stream runs", func() bool { return len(d.runsOf(stream.id)) > 0 })
					for _, engine := range d.engines {
						change(d, engine)
					}
					<-stream.done
					if stream.result.status != http.StatusOK || stream.result.err != nil {
						t.Fatalf("%+v, runs %+v", stream.result, d.runsOf(stream.id))
					}
					checkEvents(t, stream.result.body)
				})
			}
		}
	}
}
