package loadshare

import (
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
)

// TableStates holds the states of an instance's copies of the store's tables.
type TableStates struct {
	Configuration, Targets tablecache.State
}

// TableBatches holds batches of the store's tables for another instance. A batch is nil if the sender has nothing of use
// to the receiver.
type TableBatches struct {
	Configuration, Targets *tablecache.Batch
}

// hasRows reports whether any of the batches changes a table.
func (b TableBatches) hasRows() bool {
	return b.Configuration != nil && len(b.Configuration.Rows) > 0 || b.Targets != nil && len(b.Targets.Rows) > 0
}

// ShareArgs reports the loads of an instance to the collector of its zone.
type ShareArgs struct {
	From  loadshare.Member
	Loads loadshare.Loads
	// Known is the number of instances of the zone that the sender knows.
	Known    int
	Versions loadshare.Versions
	// SkipLoads reports whether the sender needs no loads in the reply.
	SkipLoads bool
	// States describes the sender's copies of the store's tables; nil if it does not take changes from other instances.
	States *TableStates
	// Batches holds what the collector lacked according to its last reply.
	Batches TableBatches
	// ReadsFailing reports whether the sender cannot read the store.
	ReadsFailing bool
}

// ShareReply returns the loads of all other instances.
type ShareReply struct {
	Self loadshare.Member
	// Others and Instances are not set if ShareArgs.SkipLoads is.
	Others    loadshare.Loads
	Instances loadshare.Instances
	// Members lists the instances of the zone. It is set only if their number differs from ShareArgs.Known.
	Members  []loadshare.Member
	Versions loadshare.Versions
	// States describes the collector's copies of the store's tables, and Batches holds what the sender lacks.
	States  *TableStates
	Batches TableBatches
	// Reader is the instance that follows the tables of the store for the zone.
	Reader entity.DaemonID
}

// PushArgs brings a member of the zone changes of the store's tables as soon as the collector has them.
type PushArgs struct {
	From    loadshare.Member
	Batches TableBatches
}

// PushReply returns the states of the receiver's copies.
type PushReply struct {
	States TableStates
}

// ZoneArgs reports the summed loads of a zone to the collector of another zone.
type ZoneArgs struct {
	From      loadshare.Member
	Loads     loadshare.Loads
	Instances int
	Versions  loadshare.Versions
	// States describes the sender's copies of the store's tables if its zone cannot read the store; else nil.
	States *TableStates
}

// ZoneReply returns the summed loads of the other zone.
type ZoneReply struct {
	Self      loadshare.Member
	Loads     loadshare.Loads
	Instances int
	Versions  loadshare.Versions
	// Batches holds what the sender's copies lack if ZoneArgs.States is set.
	Batches TableBatches
}
