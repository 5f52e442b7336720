package configsync

import (
	"context"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// Handler returns the handler of calls from other daemons, for use with a peer.Server.
func (a *Agent) Handler() peer.Handler { return handler{a} }

// handler is a separate type to keep the RPC methods out of the method set of Agent.
type handler struct{ agent *Agent }

// Exchange implements peer.Handler.
func (h handler) Exchange(args *peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	a := h.agent
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.MergeDirect(now, args.Self)
	a.peers.Merge(now, args.Self.Version, args.News)
	reply.Self = a.peers.Self()
	if args.WantZone {
		reply.News.Infos = a.peers.ZoneMembers(now, args.Self.Zone)
	} else {
		reply.News = a.peers.Sample(now, args.Self.Zone, sampleInfos, sampleHeartbeats)
	}
	if held := a.rollout.Held(); held != nil {
		reply.Held = held.Version
		if held.Version > args.Held {
			reply.Record = held
		}
	}
	a.stepLocked(rollout.PeerCalled{Peer: args.Self.ID, Incarnation: args.Self.Incarnation, Version: args.Held})
	return nil
}

// Announce implements peer.Handler.
func (h handler) Announce(args *peer.AnnounceArgs, reply *peer.AnnounceReply) error {
	a := h.agent
	if len(args.Body) > 0 {
		if err := a.addCompressedBody(args.Preset, args.Body); err != nil {
			return err
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.MergeDirect(time.Now(), args.Self)
	reply.WantBody = a.bodies.get(args.Preset) == nil
	if args.Record != nil && !reply.WantBody {
		a.checkSameVersion(args.Record)
		a.stepLocked(rollout.RecordAvailable{Record: args.Record, Peer: args.Self.ID, Incarnation: args.Self.Incarnation})
	} else {
		a.stepLocked(rollout.PeerCalled{Peer: args.Self.ID, Incarnation: args.Self.Incarnation, Version: args.Version})
	}
	if held := a.rollout.Held(); held != nil {
		reply.Held = held.Version
	}
	reply.Self = a.peers.Self()
	return nil
}

// checkSameVersion reports an invariant violation if a record has the version of the held one but results from another
// change. The conditional write to the table rules this out.
func (a *Agent) checkSameVersion(record *rollout.Record) {
	held := a.rollout.Held()
	consistent := held == nil || held.Version != record.Version || held.ChangeID == record.ChangeID
	if !consistent {
		invariant.ReportViolation(invariant.MonotonicConfiguration,
			"version %d is change %s here and change %s at a peer",
			record.Version, held.ChangeID, record.ChangeID)
	}
}

// Preset implements peer.Handler.
func (h handler) Preset(args *peer.PresetArgs, reply *peer.PresetReply) error {
	compressed, err := h.agent.compressedBody(args.Preset)
	reply.Body = compressed
	return err
}

// compressedBody returns the compressed body of a preset, or nil if the preset is not in the cache.
func (a *Agent) compressedBody(ref rollout.PresetRef) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.bodies.get(ref)
	if found == nil {
		return nil, nil
	}
	return found.compress()
}

// ClaimStatus implements peer.Handler.
func (h handler) ClaimStatus(args *peer.ClaimStatusArgs, reply *peer.ClaimStatusReply) error {
	reply.State = peer.ClaimUnknown
	reply.Incarnation = h.agent.options.Incarnation
	if status := h.agent.options.ClaimStatus; status != nil {
		reply.State = status(args.Attempt)
	}
	return nil
}

// Submit implements peer.Handler.
func (h handler) Submit(args *peer.SubmitArgs, reply *peer.SubmitReply) error {
	a := h.agent
	ctx, cancel := context.WithTimeout(a.ctx, forwardTimeout)
	defer cancel()
	accepted, err := a.submitLocally(ctx, args.Change)
	fillSubmitReply(reply, accepted, err)
	return nil
}

// address returns the address of a daemon, or an empty string if it is not known.
func (a *Agent) address(id entity.DaemonID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry := a.peers.Get(id); entry != nil {
		return entry.Address
	}
	return ""
}

// call calls a method of a daemon. It records a failed call unless the context has ended.
func (a *Agent) call(ctx context.Context, id entity.DaemonID, method string, args, reply any) error {
	address := a.address(id)
	if address == "" {
		return errkind.New(errkind.NotFound, "address of daemon %s is not known", id)
	}
	err := a.options.Client.Call(ctx, address, method, args, reply)
	if err != nil && ctx.Err() == nil {
		a.mu.Lock()
		a.peers.RecordFailedCall(id)
		a.mu.Unlock()
	}
	return err
}

// exchange compares versions with a peer and passes the peer's record to the state machine if it is newer.
func (a *Agent) exchange(ctx context.Context, command rollout.Exchange) {
	args := &peer.ExchangeArgs{}
	a.mu.Lock()
	args.Self = a.peers.Self()
	args.WantZone = command.Starting || args.Self.Heartbeat <= startupHeartbeats
	if entry := a.peers.Get(command.To); entry != nil {
		args.News = a.peers.Sample(time.Now(), entry.Zone, sampleInfos, sampleHeartbeats)
	}
	if held := a.rollout.Held(); held != nil {
		args.Held = held.Version
	}
	a.mu.Unlock()
	var reply peer.ExchangeReply
	err := a.call(ctx, command.To, peer.ExchangeCall, args, &reply)
	if err == nil {
		err = a.checkIdentity(command.To, reply.Self.ID)
	}
	if err != nil {
		log.Debugf("exchange with %s failed: %v", command.To, err)
		a.step(rollout.CallFailed{Peer: command.To})
		return
	}
	inputs := []rollout.Input{
		rollout.PeerAnswered{Peer: reply.Self.ID, Incarnation: reply.Self.Incarnation, Version: reply.Held},
	}
	if reply.Record != nil {
		if err := a.fetchBody(ctx, reply.Record, reply.Self.Address); err != nil {
			log.Warningf("failed to fetch preset %s of version %d: %v", reply.Record.Preset, reply.Record.Version, err)
			a.step(rollout.CallFailed{Peer: command.To})
			return
		}
		offered := rollout.RecordAvailable{Record: reply.Record, Peer: reply.Self.ID, Incarnation: reply.Self.Incarnation}
		inputs = []rollout.Input{offered, inputs[0]}
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.MergeDirect(now, reply.Self)
	a.peers.Merge(now, reply.Self.Version, reply.News)
	a.peers.RemoveSeed(command.To)
	a.stepLocked(inputs...)
}

// checkIdentity returns an error if a daemon other than the one called has answered, which happens when an address is
// reused. Without this check, the daemon that is gone would count as up. A call to a seed address accepts any daemon.
func (a *Agent) checkIdentity(called, answered entity.DaemonID) error {
	if called == answered || strings.HasPrefix(string(called), peerset.AddressPrefix) {
		return nil
	}
	a.mu.Lock()
	a.peers.RecordFailedCall(called)
	a.mu.Unlock()
	return errkind.New(errkind.TargetFailed, "daemon %s answered at the address of %s", answered, called)
}

// announce announces a version to a peer and sends the record if the peer holds an older version.
func (a *Agent) announce(ctx context.Context, command rollout.Announce) {
	record := command.Record
	reply, err := a.sendAnnouncement(ctx, command.To, &peer.AnnounceArgs{Version: record.Version, Preset: record.Preset})
	if err == nil && reply.Held < record.Version {
		args := &peer.AnnounceArgs{Version: record.Version, Preset: record.Preset, Record: record}
		if reply.WantBody {
			args.Body, err = a.compressedBody(record.Preset)
		}
		if err == nil {
			reply, err = a.sendAnnouncement(ctx, command.To, args)
		}
	}
	if err != nil {
		log.Debugf("failed to announce version %d to %s: %v", record.Version, command.To, err)
		a.step(rollout.CallFailed{Peer: command.To, Announced: record.Version})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.MergeDirect(time.Now(), reply.Self)
	a.stepLocked(rollout.PeerAnswered{
		Peer: command.To, Incarnation: reply.Self.Incarnation, Version: reply.Held, Announced: record.Version,
	})
}

func (a *Agent) sendAnnouncement(
	ctx context.Context, to entity.DaemonID, args *peer.AnnounceArgs,
) (*peer.AnnounceReply, error) {
	a.mu.Lock()
	args.Self = a.peers.Self()
	a.mu.Unlock()
	reply := new(peer.AnnounceReply)
	if err := a.call(ctx, to, peer.AnnounceCall, args, reply); err != nil {
		return nil, err
	}
	return reply, a.checkIdentity(to, reply.Self.ID)
}
