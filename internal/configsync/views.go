package configsync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/api/adminapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/configstore"
)

// Status returns the state of the system as known to this daemon, with the last known version in force at each daemon.
func (a *Agent) Status() adminapi.Status {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	status := adminapi.Status{
		Daemon:           string(a.options.Daemon),
		Zone:             string(a.options.Zone),
		PlatformFailures: a.rollout.PlatformFailures(),
		Daemons:          a.daemonsLocked(now),
	}
	if a.inForce != nil {
		status.Version = a.inForce.Version
		status.Preset = adminapi.PresetRef{Name: a.inForce.Preset.Name, Revision: a.inForce.Preset.Revision}
		status.ChangedBy = a.inForce.ChangedBy
		status.ChangedAt = a.inForce.ChangedAt
		status.Marks = len(a.inForce.Marks)
	}
	return status
}

// daemonsLocked returns the status of this daemon and of its known peers, sorted by id.
func (a *Agent) daemonsLocked(now time.Time) []adminapi.DaemonStatus {
	self := a.peers.Self()
	self.Version, self.Ready = a.ownStateLocked()
	daemons := []adminapi.DaemonStatus{daemonStatus(self, true, 0)}
	for _, entry := range a.peers.All() {
		age := time.Duration(-1)
		if !entry.LastUpdate.IsZero() {
			age = now.Sub(entry.LastUpdate)
		}
		daemons = append(daemons, daemonStatus(entry.Info, a.peers.Live(now, &entry), age))
	}
	slices.SortFunc(daemons, func(x, y adminapi.DaemonStatus) int { return cmp.Compare(x.ID, y.ID) })
	return daemons
}

func daemonStatus(info peerset.Info, live bool, age time.Duration) adminapi.DaemonStatus {
	seconds := age.Seconds()
	if age < 0 {
		seconds = -1
	}
	return adminapi.DaemonStatus{
		ID: string(info.ID), Zone: string(info.Zone), Address: info.Address, Incarnation: info.Incarnation,
		Version: info.Version, Ready: info.Ready, Live: live, AgeSeconds: seconds,
	}
}

// Targets returns the targets of the preset in force and of the marks, sorted by id.
func (a *Agent) Targets() adminapi.Targets {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := adminapi.Targets{Targets: []adminapi.Target{}}
	if a.inForce == nil {
		return result
	}
	result.Version = a.inForce.Version
	marks := marksByID(a.inForce.Marks)
	for _, target := range a.inForce.Preset.Targets {
		id := string(target.ID)
		result.Targets = append(result.Targets, adminapi.Target{
			Target: target, InPreset: true, Mark: marks[id], Listed: string(a.instances.state(id)),
		})
		delete(marks, id)
	}
	for id, mark := range marks {
		if mark.Target != nil {
			result.Targets = append(result.Targets, adminapi.Target{
				Target: *mark.Target, Mark: mark, Listed: string(a.instances.state(id)),
			})
		}
	}
	slices.SortFunc(result.Targets, func(x, y adminapi.Target) int { return cmp.Compare(x.ID, y.ID) })
	return result
}

func marksByID(marks []entity.Mark) map[string]*entity.Mark {
	byID := make(map[string]*entity.Mark, len(marks))
	for i := range marks {
		byID[marks[i].ID] = &marks[i]
	}
	return byID
}

// Instances returns the entry instances, which are the known daemons, sorted by id.
func (a *Agent) Instances() adminapi.Instances {
	a.mu.Lock()
	defer a.mu.Unlock()
	result := adminapi.Instances{Instances: []adminapi.Instance{}}
	var marks map[string]*entity.Mark
	if a.inForce != nil {
		result.Version = a.inForce.Version
		marks = marksByID(a.inForce.Marks)
	}
	for _, daemon := range a.daemonsLocked(time.Now()) {
		result.Instances = append(result.Instances, adminapi.Instance{
			DaemonStatus: daemon, Mark: marks[daemon.ID], Listed: string(a.instances.state(daemon.ID)),
		})
	}
	return result
}

// Presets returns the latest revision of each preset. It fails with errkind.PlatformUnavailable.
func (a *Agent) Presets(ctx context.Context) ([]configstore.PresetHead, error) {
	return a.options.Store.Presets(ctx)
}

// Preset returns a revision of a preset; the latest one if the revision is 0. It fails with errkind.NotFound or
// errkind.PlatformUnavailable.
func (a *Agent) Preset(ctx context.Context, ref rollout.PresetRef) (*entity.Preset, error) {
	ref, err := a.Resolve(ctx, ref)
	if err != nil {
		return nil, err
	}
	return a.options.Store.Preset(ctx, ref)
}

// Resolve returns the reference with the latest revision in place of 0. It fails with errkind.NotFound or
// errkind.PlatformUnavailable.
func (a *Agent) Resolve(ctx context.Context, ref rollout.PresetRef) (rollout.PresetRef, error) {
	if ref.Revision != 0 {
		return ref, nil
	}
	return a.options.Store.Latest(ctx, ref.Name)
}

// CreatePreset stores a preset. Its errors are those of configstore.Store.CreatePreset.
func (a *Agent) CreatePreset(ctx context.Context, preset configstore.NewPreset) (rollout.PresetRef, error) {
	return a.options.Store.CreatePreset(ctx, preset)
}

// Audit returns a page of the audit trail, as configstore.Store.Audit.
func (a *Agent) Audit(ctx context.Context, before uint64, limit int) ([]configstore.AuditEntry, error) {
	return a.options.Store.Audit(ctx, before, limit)
}

// Bootstrap stores a preset and puts it in force if the platform holds no configuration yet. If several daemons do so
// at the same time, one succeeds; the others find a configuration and return nil.
func (a *Agent) Bootstrap(ctx context.Context, preset entity.Preset, changeID string) error {
	current, err := a.options.Store.Current(ctx)
	if err != nil || current != nil {
		return err
	}
	by := "daemon " + string(a.options.Daemon)
	now := time.Now().UTC()
	ref, err := a.CreatePreset(ctx, configstore.NewPreset{Preset: preset, ChangeID: changeID, CreatedBy: by, CreatedAt: now})
	if err != nil {
		return err
	}
	_, err = a.Submit(ctx, rollout.Change{ID: changeID, By: by, At: now, Preset: &ref})
	if errkind.Of(err) == errkind.Conflict {
		return nil
	}
	return err
}
