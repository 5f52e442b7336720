package postingstore

import (
	"context"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
	"github.com/hyssophoist/hyssophoist/internal/peer"
)

// Caller calls a method of another daemon within a deadline. peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// PeerStatusClient queries other daemons over net/rpc. It implements StatusClient.
type PeerStatusClient struct {
	Caller Caller
	// Address returns the address of a daemon's peer listener, or false if it is not known.
	Address func(entity.DaemonID) (string, bool)
}

// ClaimStatus implements StatusClient. If the address now belongs to another daemon, that daemon replies that the
// attempt is unknown, which is handled like a restart of the claiming daemon.
func (p PeerStatusClient) ClaimStatus(ctx context.Context, daemon entity.DaemonID,
	attempt entity.AttemptID) (posting.AttemptStatus, error) {
	address, ok := p.Address(daemon)
	if !ok {
		return "", errkind.New(errkind.TargetFailed, "address of daemon %s is unknown", daemon)
	}
	var reply peer.ClaimStatusReply
	if err := p.Caller.Call(ctx, address, peer.ClaimStatusCall, &peer.ClaimStatusArgs{Attempt: attempt}, &reply); err != nil {
		return "", err
	}
	switch reply.State {
	case peer.ClaimActive:
		return posting.AttemptActive, nil
	case peer.ClaimAbandoned:
		return posting.AttemptAbandoned, nil
	case peer.ClaimUnknown:
		return posting.AttemptUnknown, nil
	}
	return "", errkind.New(errkind.Internal, "daemon %s replied with unrecognized claim state %q", daemon, reply.State)
}

// PeerClaimStatus returns what this daemon knows of one of its attempts, in the terms of the peer protocol.
func (r *Runner) PeerClaimStatus(attempt entity.AttemptID) peer.ClaimState {
	switch r.ClaimStatus(attempt) {
	case posting.AttemptActive:
		return peer.ClaimActive
	case posting.AttemptAbandoned:
		return peer.ClaimAbandoned
	}
	return peer.ClaimUnknown
}
