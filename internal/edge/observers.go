package edge

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/platform"
)

// configurationObserver applies the operator's configuration to the gateway.
type configurationObserver Daemon

// StoreRestored implements watch.Observer. The gateway never goes back to a lower version of the configuration.
func (o *configurationObserver) StoreRestored(uint64) {}

// Replaced implements watch.Observer.
func (o *configurationObserver) Replaced(change tablecache.Change, version rowversion.Version) {
	o.Changed(change, version)
}

// Changed implements watch.Observer.
func (o *configurationObserver) Changed(change tablecache.Change, version rowversion.Version) {
	defer o.sharer.TablesChanged()
	for _, row := range change.Rows {
		if row.Key != platform.ConfigurationKey || row.Deleted {
			continue
		}
		configuration, err := platform.DecodeConfiguration(row.Value)
		if err != nil {
			log.Event("configuration not understood, the one in force is kept", "row", row.Version, "error", err.Error())
			continue
		}
		if o.gateway.Configure(configuration) {
			o.metrics.ConfigurationVersion.Set(float64(configuration.Version))
			o.sharer.Announce()
			log.Event("configuration in force", "version", configuration.Version, "row", row.Version, "store", version)
		}
	}
}

// StoreLost implements watch.Observer.
func (o *configurationObserver) StoreLost(error) {
	defer o.sharer.TablesChanged()
	o.metrics.StoreErrors.WithLabelValues("configuration").Inc()
	o.store.CloseIdleConnections()
}

// Confirmed implements watch.Observer.
func (o *configurationObserver) Confirmed() {}

// targetObserver keeps the fleet of the gateway in step with the list of targets.
type targetObserver Daemon

// StoreRestored implements watch.Observer.
func (o *targetObserver) StoreRestored(era uint64) {
	o.gateway.WithFleet(func(f *fleet.Fleet) { f.StoreRestored(boottime.Now()) })
	o.sharer.StoreRestored()
	log.Event("list of targets comes from a copy", "era", era)
}

// Replaced implements watch.Observer.
func (o *targetObserver) Replaced(change tablecache.Change, version rowversion.Version) {
	listed := make(map[entity.TargetID]bool, len(change.Rows))
	for _, row := range change.Rows {
		listed[entity.TargetID(row.Key)] = true
	}
	now, kept := boottime.Now(), 0
	o.gateway.WithFleet(func(f *fleet.Fleet) { kept = f.Retain(now, listed, removal(change)) })
	log.Event("list of targets read", "rows", len(change.Rows), "store", version, "kept", kept,
		"returnedBefore", age(now, change.ReturnedAt))
	o.Changed(change, version)
	o.targetsLoaded.Store(true)
}

// Changed implements watch.Observer.
func (o *targetObserver) Changed(change tablecache.Change, _ rowversion.Version) {
	defer o.sharer.TablesChanged()
	for _, row := range change.Rows {
		o.apply(row, removal(change))
	}
}

// removal returns what a change of the list tells about the entries that it removes.
func removal(change tablecache.Change) fleet.Removal {
	return fleet.Removal{After: change.After, ReturnedAt: change.ReturnedAt, RecoveredAt: change.RecoveredAt}
}

// age returns the time since at for a log line; "" if at is zero.
func age(now, at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return now.Sub(at).Round(time.Millisecond).String()
}

// apply updates the fleet from one row. A row that cannot be decoded counts as removed.
func (o *targetObserver) apply(row tablecache.Row, removal fleet.Removal) {
	id := entity.TargetID(row.Key)
	if row.Deleted {
		now, kept := boottime.Now(), false
		o.gateway.WithFleet(func(f *fleet.Fleet) { kept = f.Remove(now, id, removal) })
		log.Event("target gone", "target", id, "row", row.Version, "kept", kept, "listedBefore", age(now, removal.After),
			"returnedBefore", age(now, removal.ReturnedAt), "recoveredBefore", age(now, removal.RecoveredAt))
		return
	}
	target, err := platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		log.Event("entry is no target", "row", row.Version, "error", err.Error())
		o.gateway.WithFleet(func(f *fleet.Fleet) { f.Remove(boottime.Now(), id, removal) })
		return
	}
	var previous fleet.Target
	taken := false
	o.gateway.WithFleet(func(f *fleet.Fleet) {
		if state := f.Get(id); state != nil {
			previous = state.Target
		}
		taken = f.Put(target)
	})
	if !taken {
		log.Event("older entry of a target ignored", "target", id, "row", row.Version, "revision", target.Revision,
			"known", previous.Revision)
		return
	}
	if previous.Revision = target.Revision; previous == target {
		return
	}
	if previous.Address != "" && (previous.Address != target.Address || previous.Born != target.Born) {
		o.pool.CloseIdle(previous.Address)
	}
	if previous.Born == target.Born && previous.Layers.Len() > 0 && previous.Layers != target.Layers {
		o.gateway.RerouteFromUnloadingEngine(target)
	}
	log.Event("target changed", "target", id, "service", target.Service, "address", target.Address, "zone", target.Zone,
		"card", target.Card, "from", target.Layers.From, "to", target.Layers.To, "draining", target.Draining,
		"changing", target.Changing, "born", target.Born, "revision", target.Revision, "row", row.Version)
}

// StoreLost implements watch.Observer.
func (o *targetObserver) StoreLost(error) {
	defer o.sharer.TablesChanged()
	o.metrics.StoreErrors.WithLabelValues("targets").Inc()
	o.store.CloseIdleConnections()
}

// Confirmed implements watch.Observer.
func (o *targetObserver) Confirmed() {}
