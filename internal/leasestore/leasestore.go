// Package leasestore performs the actions of core/lease on rows of the table service.
package leasestore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/lease"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

var log = logging.For("leases")

// Perform carries out an action of the lease in the row with the given key of table platform.LeasesTable, and returns its
// result.
func Perform(ctx context.Context, table platform.TableStore, key string, action lease.Action) lease.Event {
	if write, ok := action.(lease.Write); ok {
		return commit(ctx, table, key, write)
	}
	return read(ctx, table, key)
}

func read(ctx context.Context, table platform.TableStore, key string) lease.Event {
	stored, err := table.Get(ctx, platform.LeasesTable, key)
	if err != nil {
		log.Debugf("Read the lease %s: %v.", key, err)
		return lease.ReadFailed{}
	}
	if stored == nil {
		return lease.RowRead{}
	}
	row, err := Decode(stored.Version, stored.Value)
	if err != nil {
		log.Errorf("Decode the lease %s: %v.", key, err)
		return lease.ReadFailed{}
	}
	return lease.RowRead{Row: row}
}

func commit(ctx context.Context, table platform.TableStore, key string, action lease.Write) lease.Event {
	write, err := platform.NewWrite(platform.LeasesTable, key, action.ExpectedVersion, action.Record)
	if err != nil {
		log.Errorf("Encode the lease %s: %v.", key, err)
		return lease.WriteRefused{}
	}
	versions, err := table.Commit(ctx, write)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return lease.Committed{Version: versions[0]}
	case errors.As(err, &conflict):
		row, err := Decode(conflict.Row.Version, conflict.Row.Value)
		if err != nil {
			log.Errorf("Decode the lease %s: %v.", key, err)
			return lease.WriteUnknown{}
		}
		return lease.Conflicted{Row: row}
	case errkind.Of(err) == errkind.PlatformUnavailable:
		return lease.WriteRefused{}
	}
	return lease.WriteUnknown{}
}

// Decode returns the lease in a row with the given row version; version 0 stands for a row that does not exist.
func Decode(version uint64, value json.RawMessage) (lease.Row, error) {
	row := lease.Row{Version: version}
	if version == 0 {
		return row, nil
	}
	err := json.Unmarshal(value, &row.Record)
	return row, err
}
