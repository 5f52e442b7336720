package edge

import (
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
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
		if (*targetObserver)(o).configure(configuration) {
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
