package adminapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
)

const defaultAuditLimit = 50

func (h *Handler) status(*http.Request) (any, error) { return h.options.Backend.Status(), nil }

func (h *Handler) targets(*http.Request) (any, error) { return h.options.Backend.Targets(), nil }

func (h *Handler) instances(*http.Request) (any, error) { return h.options.Backend.Instances(), nil }

func (h *Handler) presets(r *http.Request) (any, error) {
	heads, err := h.options.Backend.Presets(r.Context())
	if err != nil {
		return nil, err
	}
	inForce := h.options.Backend.Status().Preset
	result := adminapi.Presets{Presets: make([]adminapi.PresetSummary, 0, len(heads))}
	for _, head := range heads {
		summary := adminapi.PresetSummary{
			Name: head.Name, Kind: head.Kind, Revision: head.Revision, CreatedBy: head.CreatedBy, CreatedAt: head.CreatedAt,
		}
		if head.Name == inForce.Name {
			summary.InForce = inForce.Revision
		}
		result.Presets = append(result.Presets, summary)
	}
	return result, nil
}

func (h *Handler) preset(r *http.Request) (any, error) {
	revision, err := queryUint(r, "revision", 0)
	if err != nil {
		return nil, err
	}
	ref := rollout.PresetRef{Name: mux.Vars(r)["name"], Revision: int(revision)}
	return h.options.Backend.Preset(r.Context(), ref)
}

func (h *Handler) createPreset(r *http.Request) (any, error) {
	operator, err := operatorName(r)
	if err != nil {
		return nil, err
	}
	changeID, err := changeIDOrNew(r.Header.Get(adminapi.ChangeIDHeader))
	if err != nil {
		return nil, err
	}
	var preset entity.Preset
	if err := readJSON(r, &preset); err != nil {
		return nil, err
	}
	if h.options.CheckPreset != nil {
		if err := h.options.CheckPreset(&preset); err != nil {
			return nil, badRequest(err, "preset %q is invalid", preset.Name)
		}
	}
	ref, err := h.options.Backend.CreatePreset(r.Context(), configstore.NewPreset{
		Preset: preset, ChangeID: changeID, CreatedBy: operator, CreatedAt: time.Now().UTC(),
	})
	if err != nil {
		return nil, err
	}
	return adminapi.PresetRef{Name: ref.Name, Revision: ref.Revision}, nil
}

func (h *Handler) switchPreset(r *http.Request) (any, error) {
	var request adminapi.Switch
	change, err := h.decodeChange(r, &request, func() (string, uint64) {
		return request.ChangeID, request.ExpectedVersion
	})
	if err != nil {
		return nil, err
	}
	if request.Name == "" || request.Revision < 0 {
		return nil, errkind.New(errkind.BadRequest, "the preset name is empty or the revision is negative")
	}
	ref, err := h.options.Backend.Resolve(r.Context(), rollout.PresetRef{Name: request.Name, Revision: request.Revision})
	if err != nil {
		return nil, err
	}
	change.Preset = &ref
	return h.submit(r, change)
}

func (h *Handler) setMarks(r *http.Request) (any, error) {
	var request adminapi.Marks
	change, err := h.decodeChange(r, &request, func() (string, uint64) {
		return request.ChangeID, request.ExpectedVersion
	})
	if err != nil {
		return nil, err
	}
	for _, mark := range request.Marks {
		change.Marks = append(change.Marks, entity.Mark{ID: mark.ID, State: mark.State, Target: mark.Target})
	}
	return h.submit(r, change)
}

// decodeChange decodes the request body into request and returns a change with the fields that all changes have. fields
// returns the change id and the expected version of the decoded request.
func (h *Handler) decodeChange(r *http.Request, request any, fields func() (string, uint64)) (rollout.Change, error) {
	operator, err := operatorName(r)
	if err != nil {
		return rollout.Change{}, err
	}
	if err := readJSON(r, request); err != nil {
		return rollout.Change{}, err
	}
	id, expected := fields()
	id, err = changeIDOrNew(id)
	return rollout.Change{ID: id, By: operator, At: time.Now().UTC(), Expect: expected}, err
}

func (h *Handler) submit(r *http.Request, change rollout.Change) (any, error) {
	accepted, err := h.options.Backend.Submit(r.Context(), change)
	if err != nil {
		log.Warningf("change %s by %s (%s) failed: %v", change.ID, change.By, change.Summary(), err)
		return nil, err
	}
	log.Infof("change %s by %s (%s) accepted as version %d", change.ID, change.By, change.Summary(), accepted.Version)
	return adminapi.Accepted{Version: accepted.Version, ChangeID: change.ID}, nil
}

func (h *Handler) audit(r *http.Request) (any, error) {
	before, err := queryUint(r, "before", 0)
	if err != nil {
		return nil, err
	}
	limit, err := queryUint(r, "limit", defaultAuditLimit)
	if err != nil {
		return nil, err
	}
	entries, err := h.options.Backend.Audit(r.Context(), before, int(min(limit, 1<<20)))
	if err != nil {
		return nil, err
	}
	result := adminapi.Audit{Entries: make([]adminapi.AuditEntry, 0, len(entries))}
	for _, entry := range entries {
		result.Entries = append(result.Entries, adminapi.AuditEntry{
			Version: entry.After.Version, ChangeID: entry.Change.ID, By: entry.Change.By, At: entry.Change.At,
			Summary:     entry.Change.Summary(),
			Before:      adminapi.PresetRef(entry.Before.Preset),
			After:       adminapi.PresetRef(entry.After.Preset),
			BeforeMarks: entry.Before.Marks,
			AfterMarks:  entry.After.Marks,
		})
	}
	return result, nil
}

// operatorName returns the operator's name, which the audit trail records with each change.
func operatorName(r *http.Request) (string, error) {
	name := r.Header.Get(adminapi.OperatorHeader)
	if name == "" || len(name) > maxOperatorBytes {
		return "", errkind.New(errkind.BadRequest, "header %s must contain the name of the operator, 1 to %d bytes",
			adminapi.OperatorHeader, maxOperatorBytes)
	}
	return name, nil
}

// changeIDOrNew returns id, or a new change id if id is empty.
func changeIDOrNew(id string) (string, error) {
	if len(id) > maxChangeIDBytes {
		return "", errkind.New(errkind.BadRequest, "the change id has %d bytes, want at most %d", len(id), maxChangeIDBytes)
	}
	if id == "" {
		id = uuid.NewString()
	}
	return id, nil
}

// queryUint returns a query parameter, or defaultValue if it is absent.
func queryUint(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, errkind.New(errkind.BadRequest, "query parameter %s is %q, want a non-negative integer", name, text)
	}
	return value, nil
}
