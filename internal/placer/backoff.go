package placer

import (
	"errors"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// backsOff reports whether an engine has asked to get no requests now.
func (p *Placer) backsOff(id entity.TargetID) (backsOff bool) {
	p.options.View.WithFleet(func(f *fleet.Fleet) {
		state := f.Get(id)
		backsOff = state != nil && state.BacksOff(boottime.Now())
	})
	return backsOff
}

// recordBackoff records that an engine asked to get no requests if err, which may be nil, says so.
func (p *Placer) recordBackoff(target fleet.Target, err error) {
	var refused *fleet.BackoffError
	if !errors.As(err, &refused) {
		return
	}
	now := boottime.Now()
	p.options.View.WithFleet(func(f *fleet.Fleet) {
		until, changed := f.RecordBackoff(now, target.ID, target.Born, refused.For)
		if changed {
			log.Event("target asked for time", "target", target.ID, "born", target.Born, "asked", refused.For,
				"for", until.Sub(now))
		}
	})
}
