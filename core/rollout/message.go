package rollout

import "github.com/hyssophoist/hyssophoist/core/entity"

// Input is an event that the state machine is told of.
type Input interface{ isInput() }

// PlatformRead is the result of ReadPlatform.
type PlatformRead struct {
	// Record is what the table holds; nil if it holds no configuration yet, or if the read failed.
	Record *Record
	Failed bool
}

// Source says where an offered record comes from.
type Source int

// The sources.
const (
	// FromPeer is a record received from another daemon.
	FromPeer Source = iota
	// FromWrite is a record that this daemon has written to the table.
	FromWrite
)

// Offered carries a record that this daemon could put in force, with the body of its preset at hand.
type RecordAvailable struct {
	Record *Record
	Source Source
	// Peer and Incarnation are the sender and its process; empty for FromWrite.
	Peer        entity.DaemonID
	Incarnation uint64
}

// PeerHeard says that a peer has called and which version it holds.
type PeerCalled struct {
	Peer entity.DaemonID
	// Incarnation is that of the peer's process, which loses what it holds when it ends.
	Incarnation uint64
	Version     uint64
}

// PeerAnswered is the answer of a peer to an Exchange or Announce, with the version that it holds. Peer is the id that
// it answered under, which differs from the one that was called if only its address was known.
type PeerAnswered struct {
	Peer        entity.DaemonID
	Incarnation uint64
	Version     uint64
	// Announced is the version that was announced to it; 0 for an Exchange.
	Announced uint64
}

// CallFailed says that an Exchange or Announce failed or timed out.
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

// Command is a decision of the state machine. Each ReadPlatform is answered by one PlatformRead; each Exchange and
// Announce by one PeerAnswered or CallFailed.
type Command interface{ isCommand() }

// ReadPlatform asks for a read of the table.
type ReadPlatform struct{}

// Exchange asks for a comparison of versions with a peer. If the peer has a higher one, its record follows as Offered.
type Exchange struct {
	To entity.DaemonID
	// Starting says that this daemon has nothing in force yet and needs all peers of its zone that the other knows.
	Starting bool
}

// Announce sends a record to a peer.
type Announce struct {
	To     entity.DaemonID
	Record *Record
}

// PutInForce puts a record in force at this daemon. Versions of successive commands rise.
type PutInForce struct {
	Record *Record
}

func (ReadPlatform) isCommand() {}
func (Exchange) isCommand()     {}
func (Announce) isCommand()     {}
func (PutInForce) isCommand()   {}
