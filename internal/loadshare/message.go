package loadshare

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
)

// maxUnpackedBytes bounds the memory for the batches of one message.
const maxUnpackedBytes = 16 << 20

// TableStates holds the states of an instance's copies of the store's tables.
type TableStates struct {
	Configuration, Targets tablecache.State
}

// TableBatches holds batches of the store's tables for another instance. A batch is nil if the sender has nothing of
// use to the receiver.
type TableBatches struct {
	Configuration, Targets *tablecache.Batch
}

// isUrgent reports whether any of the batches changes a table or tells of failed reads, which the receiver must know in
// case it becomes the reader.
func (b TableBatches) isUrgent() bool { return isUrgent(b.Configuration) || isUrgent(b.Targets) }

func isUrgent(batch *tablecache.Batch) bool {
	return batch != nil && (len(batch.Rows) > 0 || batch.FailingFor > 0)
}

// pack encodes batches as compressed gob.
func (b TableBatches) pack() ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(compressor).Encode(b); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpackBatches decodes what pack has encoded. The error may also mean that the content is larger than
// maxUnpackedBytes.
func unpackBatches(packed []byte) (batches TableBatches, err error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return TableBatches{}, err
	}
	err = gob.NewDecoder(io.LimitReader(decompressor, maxUnpackedBytes)).Decode(&batches)
	return batches, err
}

// The fields Copies and Changes were named States and Batches until versions had eras. Instances of earlier versions of the
// program know only the old names, so that they and later ones exchange no tables and read the store themselves.

// ShareArgs reports the loads of an instance to the collector of its zone.
type ShareArgs struct {
	From  loadshare.Member
	Loads loadshare.Loads
	// Known is the number of instances of the zone that the sender knows.
	Known    int
	Versions loadshare.Versions
	// SkipLoads reports whether the sender needs no loads in the reply.
	SkipLoads bool
	// Copies describes the sender's copies of the store's tables; nil if it does not take changes from other instances.
	Copies *TableStates
	// Changes holds what the collector lacked according to its last reply.
	Changes TableBatches
	// ReadsFailing reports whether the sender cannot read the store.
	ReadsFailing bool
	// Isolated reports whether the sender has lost its links to all engines.
	Isolated bool
	// Crashes holds what the sender knows of requests that crash engines.
	Crashes []quarantine.Evidence
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
	// Copies describes the collector's copies of the store's tables, and Changes holds what the sender lacks.
	Copies  *TableStates
	Changes TableBatches
	// Reader is the instance that follows the tables of the store for the zone.
	Reader entity.DaemonID
	// Placer is the instance that plans placements for the zone.
	Placer entity.DaemonID
	// Crashes holds what the sender knows of requests that crash engines.
	Crashes []quarantine.Evidence
}

// PushArgs brings a member of the zone changes of the store's tables as soon as the collector has them.
type PushArgs struct {
	From loadshare.Member
	// Packed holds the batches as pack encodes them: most members lack the same changes, so that these are encoded
	// once.
	Packed []byte
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
	// Copies describes the sender's copies of the store's tables if its zone cannot read the store; else nil.
	Copies *TableStates
	// Crashes holds what the sender knows of requests that crash engines.
	Crashes []quarantine.Evidence
}

// ZoneReply returns the summed loads of the other zone.
type ZoneReply struct {
	Self      loadshare.Member
	Loads     loadshare.Loads
	Instances int
	Versions  loadshare.Versions
	// Changes holds what the sender's copies lack if ZoneArgs.Copies is set.
	Changes TableBatches
	// Crashes holds what the sender knows of requests that crash engines.
	Crashes []quarantine.Evidence
}
