// Package rollout decides which configuration version a daemon puts in force and what it sends to its peers.
//
// The package is deterministic: time, random numbers and the known peers are passed in, and equal inputs give equal
// commands.
package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Default values of Options.
const (
	DefaultAnnounceTimeout = 500 * time.Millisecond
	DefaultExchangePeriod  = time.Second
	// DefaultReadPeriod causes 14 platform reads/s with 410 daemons.
	DefaultReadPeriod = 30 * time.Second
	// DefaultZoneReadPeriod makes the daemons of a zone, however many, together read the platform at least about every
	// 2 s, so that a zone that is cut off from the others soon receives a change.
	DefaultZoneReadPeriod = 2 * time.Second
	// DefaultMinBackoffLimit is at most 12 s with jitter. A daemon without peers must receive a change within 17 s of
	// the end of an outage.
	DefaultMinBackoffLimit     = 8 * time.Second
	DefaultStartupQueryPeriod  = 500 * time.Millisecond
	DefaultStartupQueryTimeout = 5 * time.Second
)

const (
	// maxZonePushes is the number of daemons of another zone to which a new version is announced, one after the other,
	// until one accepts it. If none does, the periodic exchanges spread the version to that zone.
	maxZonePushes = 4

	// announceRetryDelay is the delay after a failed announcement; without it, each step would repeat the call.
	announceRetryDelay = 100 * time.Millisecond

	// A daemon divides the period of its first fastExchanges exchanges by fastExchangeDivisor, so that it and its peers
	// soon know each other.
	fastExchanges       = 10
	fastExchangeDivisor = 5

	// pullRetryDelay is the delay between requests to a peer for its record. Without it, a record that cannot be used
	// would be requested again at every reply.
	pullRetryDelay = time.Second
)

// Peers provides the known daemons, in a reproducible order. peerset.Set implements it.
type Peers interface {
	// ZonePeers returns the other live daemons of this daemon's zone.
	ZonePeers(now time.Time) []entity.DaemonID
	// ZoneRepresentatives returns, for each other zone with live daemons, up to n of them in random order.
	ZoneRepresentatives(now time.Time, n int) [][]entity.DaemonID
	// Partner returns a peer for the next exchange; false if no peer is known.
	Partner(now time.Time) (entity.DaemonID, bool)
	// KnownPeers returns every daemon that can be queried during startup, live or not.
	KnownPeers() []entity.DaemonID
}

// Options configures a Rollout. A zero duration means the default.
type Options struct {
	Peers Peers
	Rand  *rand.Rand
	// AnnounceTimeout is the longest time for which a received version waits for the zone peers to hold it before it is
	// put in force.
	AnnounceTimeout time.Duration
	// ExchangePeriod is the mean time between exchanges with a random peer.
	ExchangePeriod time.Duration
	// ReadPeriod is the upper limit of the mean time between reads of the platform, which is otherwise ZoneReadPeriod
	// times the number of daemons of the zone.
	ReadPeriod     time.Duration
	ZoneReadPeriod time.Duration
	// MinBackoffLimit is the upper limit of the mean time between reads while the platform is down, unless the mean
	// time between successful reads is longer; then that is the limit.
	MinBackoffLimit time.Duration
	// StartupQueryPeriod and StartupQueryTimeout control startup while the platform is unavailable. Each known peer is
	// queried every StartupQueryPeriod until it answers; after StartupQueryTimeout, startup no longer waits for it.
	StartupQueryPeriod  time.Duration
	StartupQueryTimeout time.Duration
}

// pendingRecord is a record that is being announced and is not yet in force.
type pendingRecord struct {
	record   *Record
	deadline time.Time
}

// zonePush is the delivery of a record to one other zone.
type zonePush struct {
	record     *Record
	candidates []entity.DaemonID // the first is being called
}

// startupQuery is the state of the startup queries to one peer.
type startupQuery struct {
	answered bool
	inFlight bool
	started  time.Time
	next     time.Time
}

// peerState is the known state of one peer.
type peerState struct {
	// knownVersion is the highest version that the peer's process with this incarnation is known to hold.
	knownVersion uint64
	incarnation  uint64
	announcing   uint64 // highest version being announced to the peer; 0 for none
	nextAnnounce time.Time
	nextPull     time.Time
}

// Rollout is the state machine of one daemon. It is not safe for concurrent use.
type Rollout struct {
	options Options
	rand    *rand.Rand

	inForce *Record
	held    *Record // highest version received; after startup, announced and pending or in force
	pending []pendingRecord
	pushes  []zonePush
	peers   map[entity.DaemonID]*peerState

	starting       bool
	startupQueries map[entity.DaemonID]*startupQuery

	reading      bool
	readFailures int
	nextRead     time.Time
	nextExchange time.Time
	exchanges    int // periodic exchanges so far, counted up to fastExchanges
	commands     []Command
}

// New returns the state machine of a starting daemon, which has no record in force.
func New(options Options) *Rollout {
	setDefault(&options.AnnounceTimeout, DefaultAnnounceTimeout)
	setDefault(&options.ExchangePeriod, DefaultExchangePeriod)
	setDefault(&options.ReadPeriod, DefaultReadPeriod)
	setDefault(&options.ZoneReadPeriod, DefaultZoneReadPeriod)
	setDefault(&options.MinBackoffLimit, DefaultMinBackoffLimit)
	setDefault(&options.StartupQueryPeriod, DefaultStartupQueryPeriod)
	setDefault(&options.StartupQueryTimeout, DefaultStartupQueryTimeout)
	return &Rollout{
		options:        options,
		rand:           options.Rand,
		peers:          make(map[entity.DaemonID]*peerState),
		startupQueries: make(map[entity.DaemonID]*startupQuery),
		starting:       true,
	}
}

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}

// InForce returns the record in force, or nil.
func (r *Rollout) InForce() *Record { return r.inForce }

// Held returns the record with the highest version that this daemon has received, or nil. It is the record reported to
// peers, since a version must reach a restarted peer even if it is not yet in force here.
func (r *Rollout) Held() *Record { return r.held }

// Starting reports whether this daemon has yet to determine which version it may put in force.
func (r *Rollout) Starting() bool { return r.starting }

// PlatformFailures returns the number of consecutive failed reads of the platform.
func (r *Rollout) PlatformFailures() int { return r.readFailures }

// Forget removes the state of peers that are no longer known.
func (r *Rollout) Forget(peers []entity.DaemonID) {
	for _, id := range peers {
		delete(r.peers, id)
	}
}

// Step processes the inputs and returns the resulting commands. It must be called when an input arrives and at least
// every 100 ms, which is the resolution of all periods. The returned slice is valid until the next call.
func (r *Rollout) Step(now time.Time, inputs ...Input) []Command {
	r.commands = r.commands[:0]
	for _, input := range inputs {
		switch input := input.(type) {
		case PlatformRead:
			r.platformRead(now, input)
		case RecordAvailable:
			r.recordAvailable(now, input)
		case PeerCalled:
			r.updateKnownVersion(input.Peer, input.Incarnation, input.Version)
		case PeerAnswered:
			r.peerAnswered(now, input)
		case CallFailed:
			r.callFailed(now, input)
		}
	}
	r.readPlatform(now)
	if r.starting {
		r.queryPeers(now)
	} else {
		r.putInForce(now)
		r.exchange(now)
	}
	return r.commands
}

func (r *Rollout) emit(command Command) { r.commands = append(r.commands, command) }

// jitter returns a random duration between half and one and a half times mean.
func (r *Rollout) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(r.rand.Int64N(int64(mean)+1))
}

func (r *Rollout) readPlatform(now time.Time) {
	if r.reading || now.Before(r.nextRead) {
		return
	}
	r.reading = true
	r.emit(ReadPlatform{})
}

func (r *Rollout) platformRead(now time.Time, read PlatformRead) {
	r.reading = false
	if read.Failed {
		r.readFailures++
		r.nextRead = now.Add(r.jitter(r.readBackoff(now)))
		return
	}
	r.readFailures = 0
	r.nextRead = now.Add(r.jitter(r.readPeriod(now)))
	r.hold(now, read.Record)
	r.endStartup(now)
}

// readPeriod returns the mean time until the next read after a successful one.
func (r *Rollout) readPeriod(now time.Time) time.Duration {
	daemons := time.Duration(len(r.options.Peers.ZonePeers(now)) + 1)
	return min(r.options.ReadPeriod, daemons*r.options.ZoneReadPeriod)
}

// readBackoff returns the mean time until the next read after failed ones. It starts at ZoneReadPeriod and doubles with
// each failure. The caller adds jitter, which spreads the daemons' first reads after an outage over that time.
func (r *Rollout) readBackoff(now time.Time) time.Duration {
	limit := max(r.options.MinBackoffLimit, r.readPeriod(now))
	mean := r.options.ZoneReadPeriod
	for i := 1; i < r.readFailures && mean < limit; i++ {
		mean *= 2
	}
	return min(mean, limit)
}

func (r *Rollout) recordAvailable(now time.Time, available RecordAvailable) {
	if available.Peer != "" {
		r.updateKnownVersion(available.Peer, available.Incarnation, versionOf(available.Record))
	}
	if !r.hold(now, available.Record) || available.Source != FromWrite {
		return
	}
	// A record that this daemon has just written is the latest, so startup needs no further queries to peers.
	r.endStartup(now)
	r.pushes = r.pushes[:0]
	for _, candidates := range r.options.Peers.ZoneRepresentatives(now, maxZonePushes) {
		r.pushes = append(r.pushes, zonePush{record: available.Record, candidates: candidates})
		r.announce(now, candidates[0])
	}
}

// hold makes record the held one if its version is higher than any received so far, and reports whether it is.
func (r *Rollout) hold(now time.Time, record *Record) bool {
	if versionOf(record) <= versionOf(r.held) {
		return false
	}
	r.held = record
	if !r.starting {
		r.pending = append(r.pending, pendingRecord{record: record, deadline: now.Add(r.options.AnnounceTimeout)})
		r.announceToZone(now)
	}
	return true
}

// endStartup ends startup and makes the held record pending. Earlier records that were received during startup never
// come into force, since a zone peer may have a later one in force.
func (r *Rollout) endStartup(now time.Time) {
	if !r.starting {
		return
	}
	r.starting = false
	clear(r.startupQueries)
	if r.held == nil {
		return
	}
	r.pending = []pendingRecord{{record: r.held, deadline: now.Add(r.options.AnnounceTimeout)}}
	r.announceToZone(now)
}

func (r *Rollout) announceToZone(now time.Time) {
	for _, peer := range r.options.Peers.ZonePeers(now) {
		r.announce(now, peer)
	}
}

func (r *Rollout) peer(id entity.DaemonID) *peerState {
	state := r.peers[id]
	if state == nil {
		state = &peerState{}
		r.peers[id] = state
	}
	return state
}

// announce sends the held record to a peer unless the peer holds it, a call with it is in progress, or one has just
// failed.
func (r *Rollout) announce(now time.Time, id entity.DaemonID) {
	peer, version := r.peer(id), versionOf(r.held)
	if peer.knownVersion >= version || peer.announcing >= version || now.Before(peer.nextAnnounce) {
		return
	}
	peer.announcing = version
	r.emit(Announce{To: id, Record: r.held})
}

func (r *Rollout) updateKnownVersion(id entity.DaemonID, incarnation, version uint64) {
	peer := r.peer(id)
	switch {
	case incarnation > peer.incarnation:
		peer.incarnation, peer.knownVersion = incarnation, version
	case incarnation == peer.incarnation:
		peer.knownVersion = max(peer.knownVersion, version)
	}
}

// peerAnswered processes a reply: it announces the held record to a peer with a lower version and requests the record
// of a peer with a higher one.
func (r *Rollout) peerAnswered(now time.Time, answer PeerAnswered) {
	peer := r.peer(answer.Peer)
	r.updateKnownVersion(answer.Peer, answer.Incarnation, answer.Version)
	if r.starting {
		// A peer that was called by its address alone replies with its id, for which no query exists yet.
		query := r.startupQueries[answer.Peer]
		if query == nil {
			query = &startupQuery{started: now, next: now.Add(r.options.StartupQueryPeriod)}
			r.startupQueries[answer.Peer] = query
		}
		query.answered, query.inFlight = true, false
	}
	if answer.Announced != 0 {
		r.endAnnouncement(now, answer.Peer, answer.Announced, answer.Version < answer.Announced)
	}
	switch {
	case answer.Version > versionOf(r.held) && !now.Before(peer.nextPull):
		peer.nextPull = now.Add(pullRetryDelay)
		r.emit(Exchange{To: answer.Peer})
	case answer.Version < versionOf(r.held) && !r.starting:
		r.announce(now, answer.Peer)
	}
}

// callFailed processes the failure of an announcement or a startup query.
func (r *Rollout) callFailed(now time.Time, failure CallFailed) {
	if query := r.startupQueries[failure.Peer]; query != nil {
		query.inFlight = false
	}
	if failure.Announced != 0 {
		r.endAnnouncement(now, failure.Peer, failure.Announced, true)
	}
}

// endAnnouncement processes the end of an announcement. If it was a push to another zone and failed, the record is
// announced to the next daemon of that zone.
func (r *Rollout) endAnnouncement(now time.Time, id entity.DaemonID, version uint64, failed bool) {
	peer := r.peer(id)
	if peer.announcing == version {
		peer.announcing = 0
	}
	if failed {
		peer.nextAnnounce = now.Add(announceRetryDelay)
	}
	remaining := r.pushes[:0]
	for _, p := range r.pushes {
		if p.candidates[0] != id || p.record.Version > version {
			remaining = append(remaining, p)
			continue
		}
		p.candidates = p.candidates[1:]
		if !failed || len(p.candidates) == 0 {
			continue
		}
		remaining = append(remaining, p)
		r.announce(now, p.candidates[0])
	}
	r.pushes = remaining
}

// putInForce puts the highest pending record in force that all live zone peers hold or whose announcement has timed
// out.
func (r *Rollout) putInForce(now time.Time) {
	if len(r.pending) == 0 {
		return
	}
	zonePeers := r.options.Peers.ZonePeers(now)
	for _, peer := range zonePeers {
		r.announce(now, peer)
	}
	for i := len(r.pending) - 1; i >= 0; i-- {
		candidate := r.pending[i]
		if now.Before(candidate.deadline) && !r.allHold(zonePeers, candidate.record.Version) {
			continue
		}
		r.pending = append(r.pending[:0], r.pending[i+1:]...)
		r.inForce = candidate.record
		r.emit(PutInForce{Record: candidate.record})
		return
	}
}

func (r *Rollout) allHold(peers []entity.DaemonID, version uint64) bool {
	for _, peer := range peers {
		if r.peer(peer).knownVersion < version {
			return false
		}
	}
	return true
}

func (r *Rollout) exchange(now time.Time) {
	if now.Before(r.nextExchange) {
		return
	}
	period := r.options.ExchangePeriod
	if r.exchanges < fastExchanges {
		r.exchanges++
		period /= fastExchangeDivisor
	}
	r.nextExchange = now.Add(r.jitter(period))
	if partner, ok := r.options.Peers.Partner(now); ok {
		r.emit(Exchange{To: partner})
	}
}

// queryPeers asks all known peers for their version while the platform is unavailable during startup. It ends startup
// once each has answered or has been queried for StartupQueryTimeout, provided that a record has been received.
func (r *Rollout) queryPeers(now time.Time) {
	if r.readFailures == 0 {
		return
	}
	waiting := false
	for _, peer := range r.options.Peers.KnownPeers() {
		query := r.startupQueries[peer]
		if query == nil {
			query = &startupQuery{started: now, next: now}
			r.startupQueries[peer] = query
		}
		if query.answered {
			continue
		}
		if now.Sub(query.started) < r.options.StartupQueryTimeout {
			waiting = true
		}
		if !query.inFlight && !now.Before(query.next) {
			query.inFlight = true
			query.next = now.Add(r.options.StartupQueryPeriod)
			r.emit(Exchange{To: peer, Starting: true})
		}
	}
	if waiting || r.held == nil {
		r.retryEmptyAnswers(now)
		return
	}
	r.endStartup(now)
}

// retryEmptyAnswers allows further queries to peers that had no record, since they may be starting as well.
func (r *Rollout) retryEmptyAnswers(now time.Time) {
	if r.held != nil {
		return
	}
	for _, query := range r.startupQueries {
		if query.answered && !now.Before(query.next) {
			query.answered = false
			query.started = now
		}
	}
}
