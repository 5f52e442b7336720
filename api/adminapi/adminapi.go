// Package adminapi defines the wire types of the administration API, which operators call over HTTP with JSON bodies.
// Every request carries "Authorization: Bearer {token}"; changes also carry OperatorHeader.
package adminapi

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Paths of the API.
const (
	// StatusPath returns Status.
	StatusPath = "/admin/v1/status"
	// PresetsPath returns Presets; POST accepts a preset file as JSON and returns PresetRef. PresetsPath/{name} returns
	// an entity.Preset; the optional query parameter "revision" selects a revision other than the latest.
	PresetsPath = "/admin/v1/presets"
	// SwitchPath accepts Switch with POST and returns Accepted.
	SwitchPath = "/admin/v1/switch"
	// TargetsPath returns Targets.
	TargetsPath = "/admin/v1/targets"
	// InstancesPath returns Instances.
	InstancesPath = "/admin/v1/instances"
	// MarksPath accepts Marks with POST and returns Accepted.
	MarksPath = "/admin/v1/marks"
	// AuditPath returns Audit; the query parameters "before" (a version) and "limit" select a page.
	AuditPath = "/admin/v1/audit"
)

const (
	// OperatorHeader names the operator for the audit trail, in at most 128 bytes.
	OperatorHeader = "Hyssophoist-Operator"
	// ChangeIDHeader identifies the creation of a preset. A request that is retried with the same id after a lost
	// response takes effect once.
	ChangeIDHeader = "Hyssophoist-Change-ID"
)

// PresetRef identifies one revision of a preset.
type PresetRef struct {
	Name     string `json:"name"`
	Revision int    `json:"revision"`
}

// DaemonStatus is the state of one daemon as known to the daemon that answers.
type DaemonStatus struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Version is the configuration version in force at the daemon; 0 if there is none.
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	Live    bool   `json:"live"`
	// AgeSeconds is the time since newer information about the daemon last arrived, from itself or through other
	// daemons; -1 if none has arrived.
	AgeSeconds float64 `json:"age_seconds"`
}

// Status is the state of the system as one daemon sees it.
type Status struct {
	Daemon string `json:"daemon"`
	Zone   string `json:"zone"`
	// Version, Preset, ChangedBy and ChangedAt describe the configuration in force at this daemon; Version is 0 if
	// there is none.
	Version   uint64    `json:"version"`
	Preset    PresetRef `json:"preset"`
	ChangedBy string    `json:"changed_by,omitempty"`
	ChangedAt time.Time `json:"changed_at,omitzero"`
	Marks     int       `json:"marks"`
	// PlatformFailures counts the consecutive failed reads from the platform; 0 means that it is reachable.
	PlatformFailures int            `json:"platform_failures"`
	Daemons          []DaemonStatus `json:"daemons"`
}

// PresetSummary describes the latest revision of a preset.
type PresetSummary struct {
	Name      string            `json:"name"`
	Kind      entity.PresetKind `json:"kind"`
	Revision  int               `json:"revision"`
	CreatedBy string            `json:"created_by"`
	CreatedAt time.Time         `json:"created_at"`
	// InForce is the revision that is in force; 0 if another preset is in force.
	InForce int `json:"in_force"`
}

// Presets lists presets, ordered by name.
type Presets struct {
	Presets []PresetSummary `json:"presets"`
}

// Switch puts a preset in force.
type Switch struct {
	// ChangeID identifies the change; the daemon generates one if it is empty. A request that is retried with the same
	// id after a lost response takes effect once.
	ChangeID string `json:"change_id,omitempty"`
	// ExpectedVersion is the configuration version that the change replaces; 0 if there is none yet.
	ExpectedVersion uint64 `json:"expected_version"`
	Name            string `json:"name"`
	// Revision 0 selects the latest revision.
	Revision int `json:"revision,omitempty"`
}

// Mark makes a target or an entry instance, which is one that runs a daemon, join or leave.
type Mark struct {
	ID    string           `json:"id"`
	State entity.MarkState `json:"state"`
	// Target describes a target that joins and is not in the preset.
	Target *entity.Target `json:"target,omitempty"`
}

// Marks sets marks. ChangeID and ExpectedVersion are as in Switch.
type Marks struct {
	ChangeID        string `json:"change_id,omitempty"`
	ExpectedVersion uint64 `json:"expected_version"`
	Marks           []Mark `json:"marks"`
}

// Accepted is the response to a change that took effect.
type Accepted struct {
	// Version is the configuration version that the change created.
	Version  uint64 `json:"version"`
	ChangeID string `json:"change_id"`
}

// Target is a target that the preset in force or a mark describes.
type Target struct {
	entity.Target
	InPreset bool         `json:"in_preset"`
	Mark     *entity.Mark `json:"mark,omitempty"`
	// Listed is the state in the platform's instance list, "live" or "leaving"; empty if the target is not listed. The
	// list lags behind the actual state.
	Listed string `json:"listed,omitempty"`
}

// Targets lists targets, ordered by id.
type Targets struct {
	Version uint64   `json:"version"`
	Targets []Target `json:"targets"`
}

// Instance is an entry instance known from its daemon, the platform's list or a mark.
type Instance struct {
	DaemonStatus
	Mark *entity.Mark `json:"mark,omitempty"`
	// Listed is as in Target.
	Listed string `json:"listed,omitempty"`
}

// Instances lists entry instances, ordered by id.
type Instances struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// AuditEntry is one accepted change.
type AuditEntry struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change_id"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	Summary  string    `json:"summary"`
	// Before and After are the presets in force before and after the change. BeforeMarks and AfterMarks are the marks
	// of the ids that the change concerns, before and after it.
	Before      PresetRef     `json:"before"`
	After       PresetRef     `json:"after"`
	BeforeMarks []entity.Mark `json:"before_marks,omitempty"`
	AfterMarks  []entity.Mark `json:"after_marks,omitempty"`
}

// Audit is a page of the audit trail, newest first.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// Conflict describes the configuration in force if a change was rejected because another took effect first.
type Conflict struct {
	// Version and Preset are those in force; Version is 0 if there is no configuration yet.
	Version   uint64    `json:"version"`
	Preset    PresetRef `json:"preset"`
	ChangedBy string    `json:"changed_by"`
	ChangedAt time.Time `json:"changed_at"`
	// Change describes the latest change; empty if the audit trail could not be read.
	Change string `json:"change,omitempty"`
}

// Error describes why a request failed.
type Error struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Run is "not_run" if nothing was changed and "unknown" otherwise.
	Run string `json:"run"`
	// RetryAfterSeconds is set if a retry after this time may succeed.
	RetryAfterSeconds float64   `json:"retry_after_seconds,omitempty"`
	Conflict          *Conflict `json:"conflict,omitempty"`
}

// ErrorBody is the body of a response with an error status.
type ErrorBody struct {
	Error Error `json:"error"`
}
