package configsync

import (
	"context"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

const (
	// forwardTimeout is the timeout of a change forwarded to a peer. It covers the resolve timeout of the store and its
	// reads of the platform.
	forwardTimeout = configstore.DefaultResolveTimeout + 2*platformTimeout

	// maxForwards is the maximum number of peers to which a change is forwarded.
	maxForwards = 3
)

// Submit writes a change and returns once it is accepted; its distribution continues in the background. If the platform
// is unavailable to this daemon, the change is forwarded to a peer. Repeating a change is safe, since it takes effect
// at most once under its id. The error kinds are those of configstore.Store.Apply, NotFound for an unknown preset,
// target or instance, and BadRequest.
func (a *Agent) Submit(ctx context.Context, change rollout.Change) (*configstore.Accepted, error) {
	accepted, err := a.submitLocally(ctx, change)
	if errkind.Of(err) != errkind.PlatformUnavailable || err == nil {
		return accepted, err
	}
	return a.forward(ctx, change, err)
}

// submitLocally writes a change to the platform and passes the record that results, or that caused a conflict, to the
// state machine.
func (a *Agent) submitLocally(ctx context.Context, change rollout.Change) (*configstore.Accepted, error) {
	if err := a.checkChange(ctx, change); err != nil {
		return nil, err
	}
	accepted, err := a.options.Store.Apply(ctx, change)
	if err != nil {
		if conflict := configstore.AsConflict(err); conflict != nil && conflict.Current != nil {
			a.offer(ctx, conflict.Current, rollout.FromPeer)
		}
		return nil, err
	}
	source := rollout.FromWrite
	if accepted.Current.Version != accepted.Version {
		source = rollout.FromPeer
	}
	a.offer(ctx, accepted.Current, source)
	return accepted, nil
}

// offer passes a record that was read or written to the state machine. If the body of its preset is unavailable, the
// record is skipped and arrives with the next read of the platform.
func (a *Agent) offer(ctx context.Context, record *rollout.Record, source rollout.Source) {
	if err := a.fetchBody(ctx, record, ""); err != nil {
		log.Warningf("failed to fetch preset %s of version %d: %v", record.Preset, record.Version, err)
		return
	}
	a.step(rollout.RecordAvailable{Record: record, Source: source})
}

// checkChange returns an error if a change has an invalid mark or refers to a preset, target or instance that does not
// exist.
func (a *Agent) checkChange(ctx context.Context, change rollout.Change) error {
	if change.Preset != nil {
		if err := a.loadBody(ctx, *change.Preset); err != nil {
			return err
		}
	}
	for _, mark := range change.Marks {
		if err := a.checkMark(mark); err != nil {
			return err
		}
	}
	return nil
}

// loadBody ensures that a preset exists and that its body is in the cache.
func (a *Agent) loadBody(ctx context.Context, ref rollout.PresetRef) error {
	a.mu.Lock()
	cached := a.bodies.get(ref) != nil
	a.mu.Unlock()
	if cached {
		return nil
	}
	preset, err := a.options.Store.Preset(ctx, ref)
	if err != nil {
		return err
	}
	a.addBody(ref, preset)
	return nil
}

func (a *Agent) checkMark(mark entity.Mark) error {
	if mark.ID == "" || (mark.State != entity.JoinMark && mark.State != entity.LeaveMark) {
		return errkind.New(errkind.BadRequest, "mark of %q has state %q, want %q or %q",
			mark.ID, mark.State, entity.JoinMark, entity.LeaveMark)
	}
	if target := mark.Target; target != nil {
		if string(target.ID) != mark.ID {
			return errkind.New(errkind.BadRequest, "mark of %q describes target %q", mark.ID, target.ID)
		}
		if target.URL == "" || target.Zone == "" || (target.Kind != entity.EngineTarget && target.Kind != entity.ServiceTarget) {
			return errkind.New(errkind.BadRequest, "description of target %q lacks a url, a zone or a valid kind", mark.ID)
		}
		return nil
	}
	if a.isKnownID(mark.ID) {
		return nil
	}
	return errkind.New(errkind.NotFound,
		"%q is neither a target of the preset in force nor a known instance; a target that joins needs a description", mark.ID)
}

// isKnownID reports whether an id is that of a target of the preset in force, an earlier mark, a daemon or an instance
// in the platform's list.
func (a *Agent) isKnownID(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == string(a.options.Daemon) || a.peers.Get(entity.DaemonID(id)) != nil || a.instances.state(id) != "" {
		return true
	}
	if held := a.rollout.Held(); held != nil && held.Mark(id) != nil {
		return true
	}
	if a.inForce == nil {
		return false
	}
	for i := range a.inForce.Preset.Targets {
		if string(a.inForce.Preset.Targets[i].ID) == id {
			return true
		}
	}
	return false
}

// forward forwards a change to peers until one of them accepts or rejects it. unavailable is the error of this daemon's
// own attempt, which wrote nothing.
func (a *Agent) forward(ctx context.Context, change rollout.Change, unavailable error) (*configstore.Accepted, error) {
	outcomeUnknown := false
	for _, id := range a.forwardCandidates() {
		var reply peer.SubmitReply
		address := a.address(id)
		err := a.options.Client.CallWithin(
			ctx, forwardTimeout, address, peer.SubmitCall, &peer.SubmitArgs{Change: change}, &reply)
		if err != nil {
			outcomeUnknown = outcomeUnknown || errkind.RunOf(err) != errkind.NotRun
			continue
		}
		kind := errkind.Kind(reply.Kind)
		if kind == errkind.PlatformUnavailable {
			continue
		}
		outcomeUnknown = outcomeUnknown || kind == errkind.OutcomeUnknown
		if kind == errkind.OutcomeUnknown {
			continue
		}
		return a.forwardResult(ctx, address, &reply)
	}
	if outcomeUnknown {
		return nil, errkind.New(errkind.OutcomeUnknown,
			"change %s was forwarded to another daemon, but it is not known whether it took effect", change.ID)
	}
	return nil, unavailable
}

// forwardCandidates returns the peers to which a change can be forwarded. Daemons of other zones come first, since a
// zone usually loses its connection to the platform as a whole.
func (a *Agent) forwardCandidates() []entity.DaemonID {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []entity.DaemonID
	for _, zone := range a.peers.ZoneRepresentatives(now, 1) {
		ids = append(ids, zone[0])
	}
	ids = append(ids, a.peers.ZonePeers(now)...)
	return ids[:min(len(ids), maxForwards)]
}

// forwardResult converts the reply to a forwarded change and passes the record in it to the state machine.
func (a *Agent) forwardResult(ctx context.Context, address string, reply *peer.SubmitReply) (*configstore.Accepted, error) {
	if reply.Current != nil {
		if err := a.fetchBody(ctx, reply.Current, address); err == nil {
			a.step(rollout.RecordAvailable{Record: reply.Current, Source: rollout.FromPeer})
		}
	}
	if reply.Kind == "" {
		return &configstore.Accepted{Version: reply.Version, Current: reply.Current}, nil
	}
	if errkind.Kind(reply.Kind) != errkind.Conflict {
		return nil, errkind.New(errkind.Kind(reply.Kind), "%s", reply.Message)
	}
	conflict := &configstore.ConflictError{Current: reply.Current}
	if reply.LastChange != nil {
		conflict.LastChange = &configstore.AuditEntry{Change: *reply.LastChange}
	}
	return nil, errkind.Wrap(errkind.Conflict, conflict, "another change took effect first")
}

func fillSubmitReply(reply *peer.SubmitReply, accepted *configstore.Accepted, err error) {
	if err == nil {
		reply.Version, reply.Current = accepted.Version, accepted.Current
		return
	}
	reply.Kind, reply.Message = string(errkind.Of(err)), errkind.MessageOf(err)
	conflict := configstore.AsConflict(err)
	if conflict == nil {
		return
	}
	reply.Current = conflict.Current
	if conflict.LastChange != nil {
		reply.LastChange = &conflict.LastChange.Change
	}
}
