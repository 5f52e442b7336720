// Package entity defines the entities of the router and their identifiers.
//
// The JSON encoding of Preset and its nested types is the preset file format. Configurations that the table service
// stores and daemons exchange refer to their preset by name and revision; see package rollout.
package entity

import "time"

// Identifiers. Each is unique among the entities of its type in one deployment.
type (
	// TargetID names a target: an engine or one instance of a plain service.
	TargetID string
	// ZoneID names an availability zone.
	ZoneID string
	// AccountID names a client account.
	AccountID string
	// ModelID names a model.
	ModelID string
	// ServiceID names a plain service.
	ServiceID string
	// DaemonID names a daemon, which is the process on an entry instance that accepts requests.
	DaemonID string
	// RequestID names a request. It contains the id and incarnation of the daemon that accepted the request.
	RequestID string
	// AttemptID names an attempt at a request. It is unique among all attempts of all daemons.
	AttemptID string
)

// LayerRange is the half-open range [From, To) of model layers.
type LayerRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return r.To - r.From }

// TargetKind is the type of a target.
type TargetKind string

// The kinds of target.
const (
	EngineTarget  TargetKind = "engine"
	ServiceTarget TargetKind = "service"
)

// Target is a back end that requests are routed to.
type Target struct {
	ID   TargetID   `json:"id"`
	Kind TargetKind `json:"kind"`
	// URL is the base address, such as "http://10.0.0.7:9000".
	URL  string `json:"url"`
	Zone ZoneID `json:"zone"`
	// Model and Layers are set for engines.
	Model  ModelID    `json:"model,omitempty"`
	Layers LayerRange `json:"layers,omitzero"`
	// Accelerator is a free-form name of the accelerator type. Targets with the same type and number of layers share a
	// prior estimate of their step time.
	Accelerator string `json:"accelerator,omitempty"`
	// Service is set for plain services.
	Service ServiceID `json:"service,omitempty"`
	// ChecksFencing says whether the target rejects orders and postings with a stale fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Model is a served model.
type Model struct {
	ID ModelID `json:"id"`
	// Layers is the number of layers L; a chain covers [0, L).
	Layers  int    `json:"layers"`
	Version string `json:"version,omitempty"`
	// MaxTokens bounds the prompt plus the completion, in tokens.
	MaxTokens int `json:"max_tokens"`
}

// Call matches calls of a plain service by method and path prefix.
type Call struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Service is a plain service, as opposed to a model that engines serve.
type Service struct {
	ID ServiceID `json:"id"`
	// Idempotent lists the calls that may be repeated. All other calls run at most once.
	Idempotent []Call `json:"idempotent"`
	// TimeoutSeconds bounds one call, in seconds.
	TimeoutSeconds float64 `json:"timeout_seconds"`
}

// Account is a client account.
type Account struct {
	ID AccountID `json:"id"`
	// KeySHA256 lists the SHA-256 hashes of the account's bearer keys, in lower-case hexadecimal.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the account's share of capacity relative to other accounts.
	Weight float64 `json:"weight"`
}

// PresetKind is the purpose of a preset.
type PresetKind string

// The kinds of preset.
const (
	OrdinaryPreset    PresetKind = "ordinary"
	PeakPreset        PresetKind = "peak"
	MaintenancePreset PresetKind = "maintenance"
)

// Objective is the measure that a policy favours where it must trade throughput against recovery time.
type Objective string

// The objectives.
const (
	ThroughputObjective Objective = "throughput"
	RecoveryObjective   Objective = "recovery"
)

// Limits bounds what one daemon accepts.
type Limits struct {
	// QueueLength is the number of requests that may wait for a target.
	QueueLength int `json:"queue_length"`
	// BodyBytes bounds the body of a request, in bytes.
	BodyBytes int64 `json:"body_bytes"`
	// TimeoutSeconds is the deadline of a request that states none, in seconds.
	TimeoutSeconds float64 `json:"timeout_seconds"`
}

// Preset is a named, complete set of models, services, targets, accounts and limits, with the objective of routing.
// A revision never changes once it is stored.
type Preset struct {
	Name      string     `json:"name"`
	Kind      PresetKind `json:"kind"`
	Revision  int        `json:"revision,omitempty"`
	Objective Objective  `json:"objective"`
	Models    []Model    `json:"models"`
	Services  []Service  `json:"services"`
	Targets   []Target   `json:"targets"`
	Accounts  []Account  `json:"accounts"`
	Limits    Limits     `json:"limits"`
}

// MarkState is the state that an operator requests for an instance or target.
type MarkState string

// The mark states.
const (
	JoinMark  MarkState = "join"
	LeaveMark MarkState = "leave"
)

// Mark is an operator's instruction that an instance or target joins or leaves.
type Mark struct {
	// ID is a target id or the id of an entry instance's daemon.
	ID    string    `json:"id"`
	State MarkState `json:"state"`
	By    string    `json:"by"`
	At    time.Time `json:"at"`
	// Target describes a target that joins and is not in the preset.
	Target *Target `json:"target,omitempty"`
}

// Configuration is one version of the daemons' configuration: a preset and the operators' marks.
type Configuration struct {
	// Version counts accepted changes, from 1. A daemon never replaces a version by a lower one.
	Version uint64 `json:"version"`
	Preset  Preset `json:"preset"`
	Marks   []Mark `json:"marks"`
	// ChangeID identifies the write that made this version. A writer that did not receive the response looks for it
	// to learn whether its write succeeded.
	ChangeID  string    `json:"change_id"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
}

// Priority orders requests of one client account; higher is served first.
type Priority int

// The priorities.
const (
	LowPriority    Priority = -1
	NormalPriority Priority = 0
	HighPriority   Priority = 1
)

// Hop is one stage of a chain.
type Hop struct {
	Target TargetID   `json:"target"`
	URL    string     `json:"url"`
	Layers LayerRange `json:"layers"`
}

// Chain is the route of an attempt: engines whose layer ranges cover [0, L) exactly once, in order, or a single
// service target.
type Chain []Hop
