package peer

import (
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
)

// Service method names for net/rpc.
const (
	ExchangeCall    = "Peer.Exchange"
	AnnounceCall    = "Peer.Announce"
	PresetCall      = "Peer.Preset"
	ClaimStatusCall = "Peer.ClaimStatus"
	LoadsCall       = "Peer.Loads"
	SubmitCall      = "Peer.Submit"
)

// ExchangeArgs are the arguments of a gossip exchange: the caller's state and its information about other daemons.
type ExchangeArgs struct {
	Self peerset.Info
	// Held is the highest configuration version that the caller has; it can be higher than Self.Version, which is in
	// force.
	Held uint64
	News peerset.News
	// WantZone requests all live daemons of the caller's zone instead of a sample.
	WantZone bool
}

// ExchangeReply is the reply to ExchangeArgs.
type ExchangeReply struct {
	Self peerset.Info
	Held uint64
	News peerset.News
	// Record is the record of version Held; set only if the caller has a lower version.
	Record *rollout.Record
}

// AnnounceArgs announces a configuration version. The first call contains no record; a second call with the record
// follows only if the receiver needs it. Most do not, since several peers announce a version to each daemon.
type AnnounceArgs struct {
	Self    peerset.Info
	Version uint64
	Preset  rollout.PresetRef
	Record  *rollout.Record
	// Body is the preset as gzip-compressed JSON; empty if the receiver has it.
	Body []byte
}

// AnnounceReply is the reply to AnnounceArgs.
type AnnounceReply struct {
	Self peerset.Info
	// Held is the highest configuration version that the receiver has after this call.
	Held uint64
	// WantBody reports whether the receiver lacks the preset.
	WantBody bool
}

// PresetArgs requests the body of a preset.
type PresetArgs struct {
	Preset rollout.PresetRef
}

// PresetReply is the reply to PresetArgs.
type PresetReply struct {
	// Body is the preset as gzip-compressed JSON; empty if the daemon lacks it.
	Body []byte
}

// ClaimState is the state of a posting attempt, as the daemon that made the attempt reports it.
type ClaimState string

// The claim states.
const (
	// ClaimActive means that the attempt may be sent, has been sent, or has an outcome that is not yet stored.
	ClaimActive ClaimState = "active"
	// ClaimAbandoned means that the attempt has not run and never will.
	ClaimAbandoned ClaimState = "abandoned"
	// ClaimUnknown means that the daemon does not know the attempt.
	ClaimUnknown ClaimState = "unknown"
)

// ClaimStatusArgs requests the state of a posting attempt.
type ClaimStatusArgs struct {
	Attempt entity.AttemptID
}

// ClaimStatusReply is the reply to ClaimStatusArgs.
type ClaimStatusReply struct {
	State ClaimState
	// Incarnation is the incarnation of the replying daemon.
	Incarnation uint64
}

// TargetLoad is the load report of one target in a load summary. gob does not encode fields that are zero.
type TargetLoad struct {
	Target entity.TargetID
	// AgeMillis is the time since the report was measured, in milliseconds.
	AgeMillis uint32
	Queued    uint32
	Running   uint32
	// KVPermille is the used share of KV cache memory, from 0 to 1000.
	KVPermille      uint32
	TokensProcessed uint64
}

// LoadsArgs is the load summary of the targets that the sender polls. It also serves as a heartbeat within the zone.
type LoadsArgs struct {
	Sender      entity.DaemonID
	Incarnation uint64
	Heartbeat   uint64
	Version     uint64
	Ready       bool
	Loads       []TargetLoad
	// ReadsList reports whether the sender reads the platform's list of instances for its zone. If so, Leaving contains
	// the sorted IDs of the instances that are listed as leaving.
	ReadsList bool
	Leaving   []string
}

// LoadsReply is the reply to LoadsArgs.
type LoadsReply struct {
	// Unknown reports that the receiver lacks current information about the sender, such as its address. The sender
	// should then call Exchange.
	Unknown bool
}

// SubmitArgs asks the receiver to write a change to the platform, which the caller cannot reach.
type SubmitArgs struct {
	Change rollout.Change
}

// SubmitReply is the reply to SubmitArgs.
type SubmitReply struct {
	// Version is the version that the change created, if Kind is empty.
	Version uint64
	// Current is the latest record that the receiver has read.
	Current *rollout.Record
	// Kind and Message describe the error, if any.
	Kind    string
	Message string
	// LastChange is the change that created Current, if Kind is "conflict".
	LastChange *rollout.Change
}

// Handler handles calls from other daemons. Its methods are called concurrently and, except for Submit, must return
// quickly. They are exported through net/rpc under the name "Peer".
type Handler interface {
	Exchange(args *ExchangeArgs, reply *ExchangeReply) error
	Announce(args *AnnounceArgs, reply *AnnounceReply) error
	Preset(args *PresetArgs, reply *PresetReply) error
	ClaimStatus(args *ClaimStatusArgs, reply *ClaimStatusReply) error
	Loads(args *LoadsArgs, reply *LoadsReply) error
	Submit(args *SubmitArgs, reply *SubmitReply) error
}
