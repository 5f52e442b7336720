package configstore

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

// maxRevisionAttempts is how many revisions CreatePreset tries if other operators keep taking the next one.
const maxRevisionAttempts = 16

// PresetHead is the row under a preset's name. It holds the latest revision number, so that no body needs to be read.
type PresetHead struct {
	Name      string            `json:"name"`
	Kind      entity.PresetKind `json:"kind"`
	Revision  int               `json:"revision"`
	CreatedBy string            `json:"created_by"`
	CreatedAt time.Time         `json:"created_at"`
	ChangeID  string            `json:"change_id"`
}

// storedPreset is the row of one revision.
type storedPreset struct {
	Preset    entity.Preset `json:"preset"`
	ChangeID  string        `json:"change_id"`
	CreatedBy string        `json:"created_by"`
	CreatedAt time.Time     `json:"created_at"`
}

// NewPreset is the argument of CreatePreset.
type NewPreset struct {
	// Preset is the body; its revision is assigned by the store.
	Preset entity.Preset
	// ChangeID is unique for each creation. A retry with the same ID returns the revision already created, unless
	// another one has been stored since.
	ChangeID  string
	CreatedBy string
	CreatedAt time.Time
}

func presetKey(ref rollout.PresetRef) string { return fmt.Sprintf("%s/%08d", ref.Name, ref.Revision) }

// CreatePreset stores the preset as the next revision of its name and returns the reference. The error kinds are
// BadRequest (invalid name), PlatformUnavailable (nothing was stored), Conflict (other operators stored 16 revisions
// meanwhile; nothing was stored) and OutcomeUnknown.
func (s *Store) CreatePreset(ctx context.Context, preset NewPreset) (rollout.PresetRef, error) {
	name := preset.Preset.Name
	if name == "" || strings.ContainsAny(name, "/~\n") {
		return rollout.PresetRef{}, errkind.New(errkind.BadRequest, "preset name %q is empty or contains '/', '~' or a line break", name)
	}
	for range maxRevisionAttempts {
		ref, stored, err := s.createRevision(ctx, preset)
		if stored || err != nil {
			return ref, err
		}
	}
	return rollout.PresetRef{}, errkind.New(errkind.Conflict, "preset %q is being stored by other operators; try again", name)
}

// createRevision tries to store the next revision. It reports false if another operator took that revision.
func (s *Store) createRevision(ctx context.Context, preset NewPreset) (rollout.PresetRef, bool, error) {
	head, headVersion, err := s.presetHead(ctx, preset.Preset.Name)
	if err != nil {
		return rollout.PresetRef{}, false, err
	}
	ref := rollout.PresetRef{Name: preset.Preset.Name, Revision: 1}
	if head != nil {
		if head.ChangeID == preset.ChangeID {
			ref.Revision = head.Revision
			return ref, true, nil
		}
		ref.Revision = head.Revision + 1
	}
	writes, err := presetWrites(preset, ref, headVersion)
	if err != nil {
		return ref, false, err
	}
	_, err = s.table.Commit(ctx, writes...)
	if err == nil {
		return ref, true, nil
	}
	if isConflict(err) {
		return ref, false, nil
	}
	if errkind.Of(err) != errkind.OutcomeUnknown {
		return ref, false, err
	}
	return s.resolveRevision(ctx, writes, preset.ChangeID, ref)
}

func presetWrites(preset NewPreset, ref rollout.PresetRef, headVersion uint64) ([]platformapi.Write, error) {
	body := preset.Preset
	body.Revision = ref.Revision
	stored := storedPreset{
		Preset: body, ChangeID: preset.ChangeID, CreatedBy: preset.CreatedBy, CreatedAt: preset.CreatedAt,
	}
	row, err := platform.NewWrite(platform.PresetsTable, presetKey(ref), 0, stored)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode preset")
	}
	head := PresetHead{
		Name: ref.Name, Kind: body.Kind, Revision: ref.Revision,
		CreatedBy: preset.CreatedBy, CreatedAt: preset.CreatedAt, ChangeID: preset.ChangeID,
	}
	headWrite, err := platform.NewWrite(platform.PresetsTable, ref.Name, headVersion, head)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode preset head")
	}
	return []platformapi.Write{headWrite, row}, nil
}

// resolveRevision retries a write whose response was lost until its outcome is known, as commitChange does.
func (s *Store) resolveRevision(
	ctx context.Context, writes []platformapi.Write, changeID string, ref rollout.PresetRef,
) (rollout.PresetRef, bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.resolveTimeout)
	defer cancel()
	for {
		stored, err := s.storedPreset(ctx, ref)
		if err == nil && stored != nil {
			return ref, stored.ChangeID == changeID, nil
		}
		if _, err := s.table.Commit(ctx, writes...); err == nil {
			return ref, true, nil
		}
		if !timing.Sleep(ctx, s.retryInterval) {
			return ref, false, errkind.New(errkind.OutcomeUnknown,
				"preset %s may or may not have been stored: the platform gave no response within %s", ref, s.resolveTimeout)
		}
	}
}

func (s *Store) presetHead(ctx context.Context, name string) (*PresetHead, uint64, error) {
	row, err := s.table.Get(ctx, platform.PresetsTable, name)
	if err != nil || row == nil {
		return nil, 0, err
	}
	head, err := decodeRow[PresetHead](row)
	return head, row.Version, err
}

func (s *Store) storedPreset(ctx context.Context, ref rollout.PresetRef) (*storedPreset, error) {
	row, err := s.table.Get(ctx, platform.PresetsTable, presetKey(ref))
	if err != nil || row == nil {
		return nil, err
	}
	return decodeRow[storedPreset](row)
}

// Latest returns a reference to the latest revision of a preset. It fails with errkind.NotFound if there is none.
func (s *Store) Latest(ctx context.Context, name string) (rollout.PresetRef, error) {
	head, _, err := s.presetHead(ctx, name)
	if err != nil {
		return rollout.PresetRef{}, err
	}
	if head == nil {
		return rollout.PresetRef{}, errkind.New(errkind.NotFound, "preset %q does not exist", name)
	}
	return rollout.PresetRef{Name: name, Revision: head.Revision}, nil
}

// Preset returns the body of a revision. It fails with errkind.NotFound or errkind.PlatformUnavailable.
func (s *Store) Preset(ctx context.Context, ref rollout.PresetRef) (*entity.Preset, error) {
	stored, err := s.storedPreset(ctx, ref)
	if err != nil {
		return nil, err
	}
	if stored == nil {
		return nil, errkind.New(errkind.NotFound, "preset %s does not exist", ref)
	}
	return &stored.Preset, nil
}

// Presets returns the heads of all presets, sorted by name. For each preset it reads the head and one revision and
// skips the other revisions: the key of a head sorts before those of its revisions, and "~" sorts after all digits.
func (s *Store) Presets(ctx context.Context) ([]PresetHead, error) {
	var heads []PresetHead
	after := ""
	for {
		rows, err := s.table.List(ctx, platform.PresetsTable, "", after, 1)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return heads, nil
		}
		head, err := decodeRow[PresetHead](&rows[0])
		if err != nil {
			return nil, err
		}
		// Another name can sort between a head and its revisions, such as "abay-peak" between "abay" and
		// "abay/00000001".
		if !strings.Contains(rows[0].Key, "/") {
			heads = append(heads, *head)
			after = rows[0].Key
			continue
		}
		after = rows[0].Key[:strings.Index(rows[0].Key, "/")] + "/~"
	}
}
