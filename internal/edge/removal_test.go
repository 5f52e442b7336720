package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/edgeplatform"
	"github.com/hyssophoist/hyssophoist/internal/faultproxy"
)

// cutOff makes the connections through a proxy silent in both directions.
func cutOff(proxy *faultproxy.Proxy) {
	proxy.SetRules(faultproxy.ToTarget, faultproxy.Rules{Blocked: true})
	proxy.SetRules(faultproxy.ToClient, faultproxy.Rules{Blocked: true})
}

// TestRemovedTargetIsDroppedInTime guards against requests to a target that is gone for longer than the bound, by an
// instance that reaches the store or learns from one that does, because another instance could not read the store or the
// store went down later.
func TestRemovedTargetIsDroppedInTime(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]struct {
		// begin begins the trouble; the target is removed the time before after that.
		begin  func(*deployment, []*faultproxy.Proxy)
		before []time.Duration
		// afterwards is called when the removal is known.
		afterwards func(*deployment)
	}{
		"reader cut off": {
			begin:  func(_ *deployment, stores []*faultproxy.Proxy) { cutOff(stores[0]) },
			before: []time.Duration{200 * time.Millisecond, 2 * time.Second, 2600 * time.Millisecond, 3200 * time.Millisecond},
		},
		"reader refused": {
			begin: func(_ *deployment, stores []*faultproxy.Proxy) {
				stores[0].RefuseNew(true)
				stores[0].Reset()
			},
			before: []time.Duration{0, time.Second},
		},
		"other instance cut off": {
			begin:  func(_ *deployment, stores []*faultproxy.Proxy) { cutOff(stores[1]) },
			before: []time.Duration{2 * time.Second},
		},
		"store down later": {
			begin:      func(*deployment, []*faultproxy.Proxy) {},
			before:     []time.Duration{0},
			afterwards: func(d *deployment) { d.store.SetFaults(edgeplatform.StoreFaults{Down: true}) },
		},
	} {
		for _, before := range trouble.before {
			t.Run(fmt.Sprint(name, " ", before), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				stores := d.addZone(2)
				trouble.begin(d, stores)
				time.Sleep(before)
				gone := d.plain[0]
				d.store.Remove("servers", gone.ID)
				removed := time.Now()
				if trouble.afterwards != nil {
					time.Sleep(changeBound / 4)
					trouble.afterwards(d)
				}
				d.checkServed(d.daemons, time.Until(removed.Add(changeBound)))
				runs := len(gone.Runs())
				d.checkServed(d.daemons, changeBound/2)
				if late := len(gone.Runs()) - runs; late > 0 {
					t.Errorf("%d requests ran on the target later than %v after its removal", late, changeBound)
				}
			})
		}
	}
}
