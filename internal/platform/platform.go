// Package platform defines the interfaces of the platform's table service, object store and instance list, and their
// client for the protocol of api/platformapi.
package platform

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
)

// Table names.
const (
	PresetsTable       = "presets"
	ConfigurationTable = "configuration"
	AuditTable         = "audit"
	PostingsTable      = "postings"
	LeasesTable        = "leases"
)

// CurrentKey is the key of the only row of ConfigurationTable.
const CurrentKey = "current"

// TableStore is the transactional table service.
type TableStore interface {
	// Get returns a row, or nil if it does not exist. The error kind is PlatformUnavailable.
	Get(ctx context.Context, table, key string) (*platformapi.Row, error)
	// List returns at most limit rows whose key has the prefix and is greater than after, ordered by key.
	List(ctx context.Context, table, prefix, after string, limit int) ([]platformapi.Row, error)
	// Commit applies all writes or none and returns the new row versions. A *ConflictError means that nothing was
	// written because a row had another version than expected. An error of kind PlatformUnavailable means that nothing
	// was written, one of kind OutcomeUnknown that the writes may have taken effect or may still do so.
	Commit(ctx context.Context, writes ...platformapi.Write) ([]uint64, error)
}

// ObjectStore stores objects by key.
type ObjectStore interface {
	// GetObject returns an object, or nil if it does not exist.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// PutObject stores an object under key.
	PutObject(ctx context.Context, key string, body []byte) error
}

// InstanceLister lists the live and leaving instances. The list lags behind the actual state.
type InstanceLister interface {
	ListInstances(ctx context.Context) ([]platformapi.Instance, error)
}

// ConflictError is returned for a transaction that wrote nothing because a row had another version than expected.
type ConflictError struct {
	// Row is the current row. Its version is 0 if it does not exist.
	Row platformapi.Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q of table %q has version %d", e.Row.Key, e.Row.Table, e.Row.Version)
}

// NewWrite returns a write of value, encoded as JSON, that expects the row to have version expect; 0 means that the
// row must not exist.
func NewWrite(table, key string, expect uint64, value any) (platformapi.Write, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return platformapi.Write{}, fmt.Errorf("encode row %q of table %q: %w", key, table, err)
	}
	return platformapi.Write{Table: table, Key: key, Expect: expect, Value: encoded}, nil
}
