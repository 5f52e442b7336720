package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// loadsPeriodPerPeer makes the period of load summaries proportional to the number of zone peers, so that their
	// traffic does not depend on that number: with 31 peers, they are sent every 5 s.
	loadsPeriodPerPeer = 160 * time.Millisecond
	minLoadsPeriod     = 500 * time.Millisecond
	maxLoadsPeriod     = 5 * time.Second

	// One daemon of each zone reads the platform's list every listPeriod and tells its zone peers which instances are
	// leaving; the others read it every infrequentListPeriod. With 13 zones, the former cause 7 reads/s; with 410
	// daemons, the others cause about one read in 10 s per zone.
	listPeriod           = 2 * time.Second
	infrequentListPeriod = 5 * time.Minute

	// maxListBackoffs is the maximum number of consecutive failed reads for which infrequentReadDelay doubles the delay
	// with each failure. After more failures, the delay is infrequentListPeriod.
	maxListBackoffs = 7

	// listReaderKey is the pseudo target whose poller in each zone reads the list every listPeriod.
	listReaderKey entity.TargetID = "platform instance list"
)

// instanceList is the platform's list as last read, and the leaving instances, which the zone's list reader can have
// updated since.
type instanceList struct {
	listed  []message.ListedInstance
	ids     map[string]bool // ids of listed
	leaving []string        // sorted
}

func newInstanceList(listed []message.ListedInstance, leaving []string) instanceList {
	ids := make(map[string]bool, len(listed))
	for _, instance := range listed {
		ids[instance.ID] = true
	}
	return instanceList{listed: listed, ids: ids, leaving: leaving}
}

// state returns the state of an instance, or an empty string if it is not listed.
func (l *instanceList) state(id string) message.InstanceState {
	if _, found := slices.BinarySearch(l.leaving, id); found {
		return message.InstanceLeaving
	}
	if l.ids[id] {
		return message.InstanceLive
	}
	return ""
}

// merged returns the list as last read, updated with the leaving instances.
func (l *instanceList) merged() []message.ListedInstance {
	merged := make([]message.ListedInstance, 0, len(l.listed)+len(l.leaving))
	for _, instance := range l.listed {
		merged = append(merged, message.ListedInstance{ID: instance.ID, State: l.state(instance.ID)})
	}
	for _, id := range l.leaving {
		if !l.ids[id] {
			merged = append(merged, message.ListedInstance{ID: id, State: message.InstanceLeaving})
		}
	}
	return merged
}

// AssignedTargets returns, of the targets of the preset in force and of the marks, those whose load this daemon polls,
// sorted.
func (a *Agent) AssignedTargets() []entity.TargetID {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inForce == nil {
		return nil
	}
	targets := slices.Clone(a.inForce.Preset.Targets)
	for _, mark := range a.inForce.Marks {
		if mark.Target != nil && !slices.ContainsFunc(targets, func(t entity.Target) bool { return t.ID == mark.Target.ID }) {
			targets = append(targets, *mark.Target)
		}
	}
	return a.peers.Assigned(time.Now(), targets)
}

// sendLoadsPeriodically sends load summaries to all zone peers, to which they also serve as heartbeats.
func (a *Agent) sendLoadsPeriodically(ctx context.Context) {
	for timing.Sleep(ctx, a.LoadsPeriod()) {
		a.sendLoads()
	}
}

// LoadsPeriod returns the time between load summaries to the zone peers.
func (a *Agent) LoadsPeriod() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := len(a.peers.ZonePeers(time.Now()))
	return min(max(time.Duration(peers)*loadsPeriodPerPeer, minLoadsPeriod), maxLoadsPeriod)
}

// sendLoads sends a load summary to each zone peer.
func (a *Agent) sendLoads() {
	var loads []peer.TargetLoad
	if a.options.Loads != nil {
		loads = a.options.Loads()
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.peers.Self()
	args := &peer.LoadsArgs{
		Sender: self.ID, Incarnation: self.Incarnation, Heartbeat: self.Heartbeat, Version: self.Version, Ready: self.Ready,
		Loads: loads,
	}
	if a.readsList(now) {
		args.Leaving, args.ReadsList = a.instances.leaving, true
	}
	for _, id := range a.peers.ZonePeers(now) {
		a.spawnLocked(func(ctx context.Context) { a.sendLoadsTo(ctx, id, args) })
	}
}

func (a *Agent) sendLoadsTo(ctx context.Context, id entity.DaemonID, args *peer.LoadsArgs) {
	var reply peer.LoadsReply
	if err := a.call(ctx, id, peer.LoadsCall, args, &reply); err != nil {
		log.Debugf("failed to send the load summary to %s: %v", id, err)
		return
	}
	if reply.Unknown {
		a.exchange(ctx, rollout.Exchange{To: id})
	}
}

// Loads implements peer.Handler.
func (h handler) Loads(args *peer.LoadsArgs, reply *peer.LoadsReply) error {
	a := h.agent
	a.mu.Lock()
	entry := a.peers.Get(args.Sender)
	// A new process can have a new address, which a load summary does not contain.
	if entry == nil || entry.Address == "" || args.Incarnation > entry.Incarnation {
		a.mu.Unlock()
		reply.Unknown = true
		return nil
	}
	info := peerset.Info{
		ID: args.Sender, Zone: entry.Zone, Address: entry.Address,
		Incarnation: args.Incarnation, Heartbeat: args.Heartbeat, Version: args.Version, Ready: args.Ready,
	}
	a.peers.MergeDirect(time.Now(), info)
	changed := args.ReadsList && !slices.Equal(a.instances.leaving, args.Leaving)
	if changed {
		a.instances.leaving = args.Leaving
	}
	a.mu.Unlock()
	if changed {
		a.reportInstances()
	}
	if a.options.OnLoads != nil && len(args.Loads) > 0 {
		a.options.OnLoads(args.Loads)
	}
	return nil
}

// readsList reports whether this daemon is the one of its zone that reads the platform's list every listPeriod.
func (a *Agent) readsList(now time.Time) bool {
	return a.options.Instances != nil && a.peers.Poller(now, listReaderKey) == a.options.Daemon
}

// readInstances reads the platform's list of instances periodically: about every listPeriod if readsList reports true,
// otherwise after infrequentReadDelay.
func (a *Agent) readInstances(ctx context.Context) {
	var nextInfrequentRead time.Time // next read while another daemon is the list reader
	failures := 0
	for {
		a.mu.Lock()
		due := a.readsList(time.Now()) || !time.Now().Before(nextInfrequentRead)
		wait := listPeriod/2 + time.Duration(a.rand.Int64N(int64(listPeriod)))
		a.mu.Unlock()
		if due {
			if a.readInstancesOnce(ctx) {
				failures = 0
			} else {
				failures++
			}
			nextInfrequentRead = time.Now().Add(infrequentReadDelay(failures))
		}
		if !timing.Sleep(ctx, wait) {
			return
		}
	}
}

// infrequentReadDelay returns the delay before the next read by a daemon that is not the list reader of its zone, after
// a number of consecutive failures. Without exponential backoff, all daemons would retry every listPeriod during a long
// outage and read the list together at its end.
func infrequentReadDelay(failures int) time.Duration {
	if failures == 0 || failures > maxListBackoffs {
		return infrequentListPeriod
	}
	return min(listPeriod<<failures, infrequentListPeriod)
}

// readInstancesOnce reads the list, reports changes to it and returns whether the read succeeded.
func (a *Agent) readInstancesOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	instances, err := a.options.Instances.ListInstances(ctx)
	if err != nil {
		log.Debugf("failed to read the instance list: %v", err)
		return false
	}
	var entryInstances []peerset.Instance
	var leaving []string
	listed := make([]message.ListedInstance, 0, len(instances))
	for _, instance := range instances {
		state := message.InstanceState(instance.State)
		listed = append(listed, message.ListedInstance{ID: instance.ID, State: state})
		if state == message.InstanceLeaving {
			leaving = append(leaving, instance.ID)
		}
		if instance.Kind == "entry" {
			entryInstances = append(entryInstances, peerset.Instance{
				ID: entity.DaemonID(instance.ID), Zone: entity.ZoneID(instance.Zone), Address: instance.Address,
				Leaving: state == message.InstanceLeaving,
			})
		}
	}
	slices.Sort(leaving)
	a.mu.Lock()
	a.peers.UpdateListed(time.Now(), entryInstances)
	changed := !slices.Equal(leaving, a.instances.leaving) || !slices.Equal(listed, a.instances.listed)
	sendNow := !slices.Equal(leaving, a.instances.leaving) && a.readsList(time.Now())
	a.instances = newInstanceList(listed, leaving)
	a.mu.Unlock()
	if changed {
		a.reportInstances()
	}
	if sendNow {
		a.sendLoads()
	}
	return true
}

func (a *Agent) reportInstances() {
	if a.options.OnInstances == nil {
		return
	}
	a.mu.Lock()
	list := a.instances.merged()
	a.mu.Unlock()
	a.options.OnInstances(message.InstancesListed{Instances: list})
}
