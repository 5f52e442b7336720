package configsync_test

import (
	"sync"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configsync"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// recorder records the load reports and leaving instances that an agent passes to its callbacks.
type recorder struct {
	mu      sync.Mutex
	loads   map[entity.TargetID]uint32
	leaving map[string]bool
}

func (r *recorder) setCallbacks(o *configsync.Options) {
	r.loads, r.leaving = map[entity.TargetID]uint32{}, map[string]bool{}
	o.OnLoads = func(loads []peer.TargetLoad) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, load := range loads {
			r.loads[load.Target] = load.Queued
		}
	}
	o.OnInstances = func(list message.InstancesListed) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, instance := range list.Instances {
			r.leaving[instance.ID] = instance.State == message.InstanceLeaving
		}
	}
}

// TestZoneSharesLoadsAndLeavingInstances checks that load reports and leaving instances read by one daemon reach the
// other daemon of its zone, that exactly one daemon of a zone polls a target, and that daemons that are known only from
// the platform's list are contacted.
func TestZoneSharesLoadsAndLeavingInstances(t *testing.T) {
	cluster := newTestCluster(t)
	var recorders [2]recorder
	var agents [2]*configsync.Agent
	for i, id := range []string{"a", "b"} {
		cluster.modifyOptions = func(o *configsync.Options) {
			recorders[i].setCallbacks(o)
			o.Instances = cluster.client()
			o.Seeds = nil
			o.Loads = func() []peer.TargetLoad {
				return []peer.TargetLoad{{Target: entity.TargetID("polled-by-" + id), Queued: 7}}
			}
		}
		agent, stop := cluster.start(id, "z1", cluster.url)
		defer stop()
		agents[i] = agent
	}
	instances := []platformapi.Instance{
		{ID: "a", Kind: "entry", Address: cluster.seeds[0].Address, Zone: "z1", State: "live"},
		{ID: "b", Kind: "entry", Address: cluster.seeds[1].Address, Zone: "z1", State: "live"},
		{ID: "e1", Kind: "engine", Address: "127.0.0.1:1", Zone: "z1", State: "leaving"},
	}
	cluster.platform.SetInstances(instances)
	eventually(t, "loads and leaving instances at both daemons", func() bool {
		for i, other := range []entity.TargetID{"polled-by-b", "polled-by-a"} {
			recorders[i].mu.Lock()
			complete := recorders[i].loads[other] == 7 && recorders[i].leaving["e1"]
			recorders[i].mu.Unlock()
			if !complete {
				return false
			}
		}
		return true
	})
	ref := createPreset(t, agents[0], "day")
	if _, err := agents[0].Submit(t.Context(), rollout.Change{ID: "one", By: "ops", Preset: &ref, At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "one poller for the target", func() bool {
		return versionInForce(agents[1]) == 1 && len(agents[0].AssignedTargets())+len(agents[1].AssignedTargets()) == 1
	})
}
