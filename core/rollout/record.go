package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
)

const (
	// maxJoinMarkAge is the age after which the next change removes a join mark without a target description. Otherwise
	// the record would grow by one mark for each replaced instance.
	maxJoinMarkAge = 24 * time.Hour

	// maxMarks bounds the size of the record, which is sent to every daemon at every change: 4,096 marks take about
	// 400 KB.
	maxMarks = 4096
)

// PresetRef identifies one revision of a preset.
type PresetRef struct {
	Name string `json:"name"`
	// Revision is the number of the revision, starting at 1.
	Revision int `json:"revision"`
}

// String returns the reference as "name/revision".
func (r PresetRef) String() string { return fmt.Sprintf("%s/%d", r.Name, r.Revision) }

// Record is a configuration with its preset by reference. The platform's table stores it and daemons exchange it. A
// preset is transferred separately and only once, since a revision never changes and takes about half a megabyte for
// 3,200 targets. A Record is immutable.
type Record struct {
	// Version is the number of accepted changes, including this one.
	Version   uint64        `json:"version"`
	Preset    PresetRef     `json:"preset"`
	Marks     []entity.Mark `json:"marks"`
	ChangeID  string        `json:"change_id"`
	ChangedBy string        `json:"changed_by"`
	ChangedAt time.Time     `json:"changed_at"`
}

// Configuration returns the configuration that consists of the record and the body of its preset.
func (r *Record) Configuration(preset *entity.Preset) *entity.Configuration {
	return &entity.Configuration{
		Version:   r.Version,
		Preset:    *preset,
		Marks:     slices.Clone(r.Marks),
		ChangeID:  r.ChangeID,
		ChangedBy: r.ChangedBy,
		ChangedAt: r.ChangedAt,
	}
}

// Mark returns the mark with the given id, or nil.
func (r *Record) Mark(id string) *entity.Mark {
	for i := range r.Marks {
		if r.Marks[i].ID == id {
			return &r.Marks[i]
		}
	}
	return nil
}

// versionOf returns the version of a record; 0 for nil.
func versionOf(r *Record) uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}

// Change is an operator's change of the configuration.
type Change struct {
	// ID is unique among all changes and makes them idempotent: a change that is submitted again takes effect once.
	ID string `json:"id"`
	// By is the operator's name.
	By string    `json:"by"`
	At time.Time `json:"at"`
	// Expect is the version to which the change applies; 0 if there is no configuration yet.
	Expect uint64 `json:"expect"`
	// Preset, if set, replaces the preset in force.
	Preset *PresetRef `json:"preset,omitempty"`
	// Marks are added to the marks of the record and replace those with the same ids.
	Marks []entity.Mark `json:"marks,omitempty"`
}

// Summary returns a one-line description of the change.
func (c Change) Summary() string {
	text := ""
	if c.Preset != nil {
		text = "switch to preset " + c.Preset.String()
	}
	for _, mark := range c.Marks {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("mark %s %s", mark.ID, mark.State)
	}
	return text
}

// Apply returns the record that results from applying the change to before, which is nil if there is no configuration
// yet. It returns an error of kind errkind.BadRequest if the change is empty, is the first one and has no preset, or
// results in more than 4,096 marks. It does not check Expect.
func (c Change) Apply(before *Record) (*Record, error) {
	if c.Preset == nil && len(c.Marks) == 0 {
		return nil, errkind.New(errkind.BadRequest, "change %q contains neither a preset nor marks", c.ID)
	}
	if before == nil {
		if c.Preset == nil {
			return nil, errkind.New(errkind.BadRequest, "no preset is in force yet; switch to one first")
		}
		before = &Record{}
	}
	after := &Record{
		Version:   before.Version + 1,
		Preset:    before.Preset,
		Marks:     c.mergeMarks(before.Marks),
		ChangeID:  c.ID,
		ChangedBy: c.By,
		ChangedAt: c.At,
	}
	if c.Preset != nil {
		after.Preset = *c.Preset
	}
	if len(after.Marks) > maxMarks {
		return nil, errkind.New(errkind.BadRequest, "change results in %d marks, more than the maximum of %d", len(after.Marks), maxMarks)
	}
	return after, nil
}

// mergeMarks returns the earlier marks, without expired join marks, updated with those of the change. A mark without a
// target description keeps the description of the mark that it replaces.
func (c Change) mergeMarks(earlier []entity.Mark) []entity.Mark {
	merged := make([]entity.Mark, 0, len(earlier)+len(c.Marks))
	position := make(map[string]int, len(earlier)+len(c.Marks))
	for _, mark := range earlier {
		if mark.State == entity.JoinMark && mark.Target == nil && c.At.Sub(mark.At) > maxJoinMarkAge {
			continue
		}
		position[mark.ID] = len(merged)
		merged = append(merged, mark)
	}
	for _, mark := range c.Marks {
		mark.By, mark.At = c.By, c.At
		i, ok := position[mark.ID]
		if !ok {
			position[mark.ID] = len(merged)
			merged = append(merged, mark)
			continue
		}
		if mark.Target == nil {
			mark.Target = merged[i].Target
		}
		merged[i] = mark
	}
	return merged
}
