package daemon

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// PresetSource is a ConfigurationSource with one preset that never changes.
type PresetSource struct {
	Preset entity.Preset
}

// Watch implements ConfigurationSource.
func (s PresetSource) Watch(f func(*entity.Configuration)) {
	f(&entity.Configuration{
		Version: 1, Preset: s.Preset, ChangeID: "preset-file", ChangedBy: "preset-file", ChangedAt: time.Now(),
	})
}
