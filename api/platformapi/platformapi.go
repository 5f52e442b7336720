// Package platformapi defines the wire types of the platform's services: a transactional table service, an object
// store, an instance list and a weight store. All use HTTP/1.1 with JSON bodies; objects and weights are raw bytes.
package platformapi

import "encoding/json"

// Paths of the protocol.
const (
	// TablesPath is the prefix of GET /v1/tables/{table}/rows/{key}, which returns a Row; the key is path-escaped.
	// Without a key, it returns Rows ordered by key, selected by the query parameters "prefix", "after" and "limit".
	TablesPath = "/v1/tables"
	// TransactionsPath accepts a Transaction with POST.
	TransactionsPath = "/v1/transactions"
	// ObjectsPath is the prefix of GET and PUT /v1/objects/{key}.
	ObjectsPath = "/v1/objects"
	// InstancesPath returns Instances.
	InstancesPath = "/v1/instances"
	// WeightsPath is the prefix of GET /v1/weights/{model}/{version}.
	WeightsPath = "/v1/weights"
)

// Row is a row of a table.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Version counts the writes to the row, from 1.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Rows is the response to a listing.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Write is one write in a transaction.
type Write struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Expect is the version that the row must have; 0 means that it must not exist.
	Expect uint64          `json:"expect"`
	Value  json.RawMessage `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Transaction is a list of writes that take effect atomically: all or none.
type Transaction struct {
	Writes []Write `json:"writes"`
}

// TransactionResult is the response to a transaction that took effect. Versions holds the new row versions in the order
// of the writes.
type TransactionResult struct {
	Versions []uint64 `json:"versions"`
}

// Conflict is the body of a 409 response: the first row whose version differed from the expected one. Its version is 0
// if the row does not exist.
type Conflict struct {
	Row Row `json:"row"`
}

// Instance is one entry in the instance list.
type Instance struct {
	ID string `json:"id"`
	// Kind is "entry", "engine" or "service".
	Kind string `json:"kind"`
	// Address is host:port; for an entry instance, the address of the daemon's peer listener.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Instances is the response to GET InstancesPath. It lags behind the actual state.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// ErrorBody is the body of all other responses with an error status.
type ErrorBody struct {
	Error string `json:"error"`
}
