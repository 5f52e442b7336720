package edge

import (
	"time"

	coreloadshare "github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/loadshare"
	"github.com/hyssophoist/hyssophoist/internal/settings"
	"github.com/hyssophoist/hyssophoist/internal/watch"
	"github.com/hyssophoist/hyssophoist/platform"
)

const (
	// minCoalesceInterval is the minimum time between two reads of a table's changes, so that a reader makes one call
	// for a burst of changes.
	minCoalesceInterval = 300 * time.Millisecond
	// joinTime is how long an instance of a deployment that starts for the first time waits for the tables from another
	// instance before it reads the store. Later processes must be ready as soon as possible.
	joinTime = 500 * time.Millisecond
)

// tables holds the watchers of the configuration table and the targets table.
type tables struct {
	configuration, targets *watch.Watcher
}

func newTables(s *settings.Edge, store *platform.Store) *tables {
	watcher := func(table string, bound settings.Duration) *watch.Watcher {
		options := watch.Options{
			Feed: store, Table: table, Policy: tablecache.ReadPolicy{Bound: time.Duration(bound)},
			CoalesceInterval: minCoalesceInterval,
		}
		if s.FirstStart {
			options.JoinTime = joinTime
		}
		return watch.New(options)
	}
	return &tables{
		configuration: watcher(platform.OperatorTable, s.ConfigurationBound),
		targets:       watcher(platform.TargetsTable, s.DrainBound),
	}
}

// Versions implements loadshare.Tables.
func (t *tables) Versions() coreloadshare.Versions {
	return coreloadshare.Versions{
		NewestConfiguration: t.configuration.NewestVersion(), NewestTarget: t.targets.NewestVersion(),
	}
}

// Observe implements loadshare.Tables.
func (t *tables) Observe(versions coreloadshare.Versions) {
	t.configuration.ObservePeerVersion(versions.NewestConfiguration)
	t.targets.ObservePeerVersion(versions.NewestTarget)
}

// era returns the highest era of the store that the copies show.
func (t *tables) era() uint64 {
	return max(t.configuration.State().Version, t.targets.State().Version).Era()
}

// observeEra records the era of the store that a call has shown.
func (t *tables) observeEra(era uint64) {
	t.configuration.ObserveEra(era)
	t.targets.ObserveEra(era)
}

// States implements loadshare.Tables.
func (t *tables) States() loadshare.TableStates {
	return loadshare.TableStates{Configuration: t.configuration.State(), Targets: t.targets.State()}
}

// Since implements loadshare.Tables.
func (t *tables) Since(states loadshare.TableStates) loadshare.TableBatches {
	return loadshare.TableBatches{
		Configuration: t.configuration.Since(states.Configuration), Targets: t.targets.Since(states.Targets),
	}
}

// News implements loadshare.Tables.
func (t *tables) News(states loadshare.TableStates) loadshare.TableBatches {
	return loadshare.TableBatches{
		Configuration: t.configuration.News(states.Configuration), Targets: t.targets.News(states.Targets),
	}
}

// Offer implements loadshare.Tables.
func (t *tables) Offer(batches loadshare.TableBatches) {
	if batches.Configuration != nil {
		t.configuration.Offer(*batches.Configuration)
	}
	if batches.Targets != nil {
		t.targets.Offer(*batches.Targets)
	}
}

// SetRole implements loadshare.Tables.
func (t *tables) SetRole(role tablecache.Role) {
	t.configuration.SetRole(role)
	t.targets.SetRole(role)
}

// Reader implements loadshare.Tables.
func (t *tables) Reader() bool { return t.configuration.Reader() || t.targets.Reader() }

// ReadsFailing implements loadshare.Tables.
func (t *tables) ReadsFailing() bool {
	return t.configuration.ReadsFailing() || t.targets.ReadsFailing()
}

// Stale implements loadshare.Tables.
func (t *tables) Stale() bool { return t.configuration.Stale() || t.targets.Stale() }

// wake makes the watchers check at once whether their copies are too old.
func (t *tables) wake() {
	t.configuration.Wake()
	t.targets.Wake()
}
