package rollout

import "github.com/hyssophoist/hyssophoist/core/entity"

// Input is an event that the state machine processes.
type Input interface{ isInput() }

// PlatformRead is the result of ReadPlatform.
type PlatformRead struct {
	// Record is the stored record; nil if the platform's table holds no configuration yet or the read failed.
	Record *Record
	Failed bool
}

// Source is the origin of a record in a RecordAvailable.
type Source int

// Sources of a record.
const (
	// FromPeer is a record that another daemon has sent or written, even if it was read from the platform.
	FromPeer Source = iota
	// FromWrite is a record that this daemon has written to the table.
	FromWrite
)

// RecordAvailable carries a record that this daemon can put in force, since it has the body of the record's preset.
type RecordAvailable struct {
	Record *Record
	Source Source
	// Peer and Incarnation identify the process that sent the record. They are empty for FromWrite and if the sender is
	// not known.
	Peer        entity.DaemonID
	Incarnation uint64
}

// PeerCalled reports a call from a peer and the version that the peer holds.
type PeerCalled struct {
	Peer entity.DaemonID
	// Incarnation identifies the peer's process. A new process does not hold the versions of an earlier one.
	Incarnation uint64
	Version     uint64
}

// PeerAnswered reports a peer's reply to an Exchange or Announce, with the version that the peer holds. Peer is the id
// in the reply, which differs from the id that was called if only the peer's address was known.
type PeerAnswered struct {
	Peer        entity.DaemonID
	Incarnation uint64
	Version     uint64
	// Announced is the version that was announced to the peer; 0 for an Exchange.
	Announced uint64
}

// CallFailed reports that an Exchange or Announce failed or timed out.
type CallFailed struct {
	Peer entity.DaemonID
	// Announced is the version that was announced; 0 for an Exchange.
	Announced uint64
}

func (PlatformRead) isInput()    {}
func (RecordAvailable) isInput() {}
func (PeerCalled) isInput()      {}
func (PeerAnswered) isInput()    {}
func (CallFailed) isInput()      {}

// Command is an action that the state machine requests. Each ReadPlatform must be followed by one PlatformRead, and
// each Exchange and Announce by one PeerAnswered or CallFailed.
type Command interface{ isCommand() }

// ReadPlatform requests a read of the record from the platform's table.
type ReadPlatform struct{}

// Exchange requests a comparison of versions with a peer. If the peer holds a higher one, its record must be fetched
// and passed as a RecordAvailable.
type Exchange struct {
	To entity.DaemonID
	// Starting reports that this daemon has no record in force yet and needs all the daemons of its zone that the peer
	// knows.
	Starting bool
}

// Announce sends a record to a peer.
type Announce struct {
	To     entity.DaemonID
	Record *Record
}

// PutInForce puts a record in force at this daemon. Successive commands have increasing versions.
type PutInForce struct {
	Record *Record
}

func (ReadPlatform) isCommand() {}
func (Exchange) isCommand()     {}
func (Announce) isCommand()     {}
func (PutInForce) isCommand()   {}
