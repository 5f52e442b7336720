package edge

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/platform"
)

// Log lines on entries that name no target are written at most once in passedOverLogInterval, after the first
// passedOverLogBurst: any number of them may be written at any rate. The metric counts all.
const (
	passedOverLogInterval = time.Second
	passedOverLogBurst    = 20
)

var passedOverLimiter = rate.NewLimiter(rate.Every(passedOverLogInterval), passedOverLogBurst)

// targetEntries holds the entries in the list of targets that are not in the fleet.
type targetEntries struct {
	// mu is held while entries are checked and applied, and while the configuration changes: all entries of a batch are checked
	// against the same one.
	mu sync.Mutex
	// waiting holds the entries that the configuration in force does not allow for. A later one may.
	waiting map[entity.TargetID]waitingEntry
}

type waitingEntry struct {
	row    tablecache.Row
	target fleet.Target
}

// forgetWaiting forgets all entries that wait for a configuration.
func (e *targetEntries) forgetWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.waiting)
}

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
	o.entries.forgetWaiting()
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
	o.entries.mu.Lock()
	defer o.entries.mu.Unlock()
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

// apply updates the fleet from one row. The caller holds o.entries.mu.
func (o *targetObserver) apply(row tablecache.Row, removal fleet.Removal) {
	id := entity.TargetID(row.Key)
	delete(o.entries.waiting, id)
	if row.Deleted {
		o.remove(row, removal)
		return
	}
	target, err := platform.DecodeTarget(row.Key, row.Value)
	if err != nil {
		o.passOver(row, removal, err)
		return
	}
	if err := o.checkTarget(target); err != nil {
		o.entries.waiting[id] = waitingEntry{row: row, target: target}
		o.passOver(row, removal, err)
		return
	}
	o.put(row, target)
}

// remove updates the fleet after an entry has been removed.
func (o *targetObserver) remove(row tablecache.Row, removal fleet.Removal) {
	id := entity.TargetID(row.Key)
	now, kept := boottime.Now(), false
	o.gateway.WithFleet(func(f *fleet.Fleet) { kept = f.Remove(now, id, removal) })
	log.Event("target gone", "target", id, "row", row.Version, "kept", kept, "listedBefore", age(now, removal.After),
		"returnedBefore", age(now, removal.ReturnedAt), "recoveredBefore", age(now, removal.RecoveredAt))
}

// errNoConfiguration means that an entry cannot be checked yet.
var errNoConfiguration = errors.New("no configuration is known yet")

// checkTarget returns an error for an entry that the configuration in force does not allow for: it names a service or layers that the
// deployment does not have.
func (o *targetObserver) checkTarget(target fleet.Target) error {
	configuration := o.gateway.Configuration()
	if configuration == nil {
		return errNoConfiguration
	}
	if configuration.Services[target.Service] == nil && o.isInUse(target) {
		return nil // its service has been dropped, and its requests in progress go on
	}
	return configuration.CheckTarget(target.Service, target.Card, target.Layers)
}

// isInUse reports whether the process of a target is in the fleet, under the same service.
func (o *targetObserver) isInUse(target fleet.Target) (inUse bool) {
	o.gateway.WithFleet(func(f *fleet.Fleet) {
		state := f.Get(target.ID)
		inUse = state != nil && state.Service == target.Service && state.Born == target.Born
	})
	return inUse
}

// passOver leaves out an entry that names no target. A target whose entry it has replaced is used for some time, since it may be
// sound and write its own entry again.
func (o *targetObserver) passOver(row tablecache.Row, removal fleet.Removal, reason error) {
	now, kept := boottime.Now(), false
	removal.Overwritten = true
	o.gateway.WithFleet(func(f *fleet.Fleet) { kept = f.Remove(now, entity.TargetID(row.Key), removal) })
	if errors.Is(reason, errNoConfiguration) {
		return // it is checked again in a moment
	}
	o.metrics.PassedOverEntries.Inc()
	if passedOverLimiter.Allow() {
		log.Event("entry is no target", "row", row.Version, "error", reason.Error(), "kept", kept)
	}
}

// put updates the fleet from the entry of a target.
func (o *targetObserver) put(row tablecache.Row, target fleet.Target) {
	var previous fleet.Target
	taken := false
	o.gateway.WithFleet(func(f *fleet.Fleet) {
		if state := f.Get(target.ID); state != nil {
			previous = state.Target
		}
		taken = f.Put(target)
	})
	if !taken {
		log.Event("older entry of a target ignored", "target", target.ID, "row", row.Version, "revision", target.Revision,
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
	log.Event("target changed", "target", target.ID, "service", target.Service, "address", target.Address, "zone", target.Zone,
		"card", target.Card, "from", target.Layers.From, "to", target.Layers.To, "draining", target.Draining,
		"changing", target.Changing, "born", target.Born, "revision", target.Revision, "row", row.Version)
}

// configure puts a configuration in force if its version is higher than that of the present one, and reports whether it did. It then
// applies the entries that wait for it, in the order of their rows: among equal targets the first one is preferred.
func (o *targetObserver) configure(configuration *routing.Configuration) bool {
	o.entries.mu.Lock()
	defer o.entries.mu.Unlock()
	if !o.gateway.Configure(configuration) {
		return false
	}
	waiting := slices.SortedFunc(maps.Values(o.entries.waiting), func(a, b waitingEntry) int {
		return cmp.Or(cmp.Compare(a.row.Version, b.row.Version), cmp.Compare(a.row.Key, b.row.Key))
	})
	for _, entry := range waiting {
		if o.checkTarget(entry.target) == nil {
			delete(o.entries.waiting, entry.target.ID)
			o.put(entry.row, entry.target)
		}
	}
	return true
}

// StoreLost implements watch.Observer.
func (o *targetObserver) StoreLost(error) {
	defer o.sharer.TablesChanged()
	o.metrics.StoreErrors.WithLabelValues("targets").Inc()
	o.store.CloseIdleConnections()
}

// Confirmed implements watch.Observer.
func (o *targetObserver) Confirmed() {}
