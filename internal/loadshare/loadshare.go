// Package loadshare runs the protocol of core/loadshare between edge daemons. They exchange loads, and the changes of
// the store's tables, over net/rpc on the internal port, and discover each other through a table in the store.
package loadshare

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
	"github.com/hyssophoist/hyssophoist/core/relay"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/peer"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	// sharePeriod is the time between two messages of an instance. It is short compared with a generation, which takes
	// some seconds.
	sharePeriod = 250 * time.Millisecond
	// zonePeriods is the number of periods between two exchanges with other zones. These are less frequent because
	// traffic between zones costs more.
	zonePeriods = 2
	callTimeout = 300 * time.Millisecond
	// joinPeriod is the time between two messages of an instance that has no copy of the store's tables yet.
	joinPeriod = 50 * time.Millisecond

	shareCall = "LoadShare.Share"
	zoneCall  = "LoadShare.Zone"
)

var log = logging.For("loadshare")

// View provides this instance's loads and receives those of the others. Its methods are safe for concurrent use.
type View interface {
	// OwnLoads returns this instance's load on engines.
	OwnLoads() loadshare.Loads
	// SetOtherLoads sets the loads of all other instances and the numbers of instances, including this one. collector
	// reports whether this instance is the collector of its zone.
	SetOtherLoads(loads loadshare.Loads, instances loadshare.Instances, collector bool)
	// CrashEvidence returns what this instance knows of requests that crash engines. MergeCrashEvidence adds what
	// another one knows, and reports whether that has crashes that this one did not know of.
	CrashEvidence() []quarantine.Evidence
	MergeCrashEvidence(evidence []quarantine.Evidence) (news bool)
}

// Tables holds this instance's copies of the store's tables. Its methods are safe for concurrent use.
type Tables interface {
	// Versions returns the highest versions that this instance has seen.
	Versions() loadshare.Versions
	// Observe records the highest versions that another instance has seen.
	Observe(versions loadshare.Versions)
	// States describes the copies.
	States() TableStates
	// Since returns what an instance with the given states lacks; News does so only where the copies are newer.
	Since(states TableStates) TableBatches
	News(states TableStates) TableBatches
	// Offer applies batches from another instance.
	Offer(batches TableBatches)
	// SetRole sets the part of this instance in reading the tables.
	SetRole(role tablecache.Role)
	// Reader reports whether this instance follows the tables in the store.
	Reader() bool
	// ReadsFailing reports whether this instance cannot read the store.
	ReadsFailing() bool
	// Stale reports whether a copy is so old that the store should have confirmed it again.
	Stale() bool
}

// Options configures a Sharer.
type Options struct {
	Self  loadshare.Member
	View  View
	Table platform.TableStore
	// Tables, if set, lets the instances pass on the changes of the store's tables, and detect that one of them no
	// longer receives changes.
	Tables Tables
	// Isolated, if set, reports whether this instance has lost its links to all engines.
	Isolated func() bool
	// Listen opens the peer listener at Self.Address; net.Listen if nil.
	Listen func(network, address string) (net.Listener, error)
}

// Sharer exchanges loads with other instances.
type Sharer struct {
	options Options
	client  *peer.Client

	// announce makes Run start an exchange at once.
	announce chan struct{}
	// changed makes Run pass on changes of the store's tables.
	changed chan struct{}
	// restored makes syncMembers check the entry of this instance.
	restored chan struct{}

	mu    sync.Mutex
	table *loadshare.Table
	// highestConfiguration is the highest configuration version that other instances have reported.
	highestConfiguration rowversion.Version
	// memberStates describes the copies of the members of the zone as far as this instance knows, for pushes to them.
	memberStates map[entity.DaemonID]TableStates
	// collectorStates describes the copies of the instance collectorID, the collector that last replied.
	collectorID     entity.DaemonID
	collectorStates *TableStates
	// placerID is the instance that the collector last named as the one that plans placements for the zone.
	placerID entity.DaemonID
}

// New returns a sharer, which does nothing until Run is called.
func New(options Options) *Sharer {
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	return &Sharer{
		options: options, table: loadshare.New(options.Self),
		client: peer.NewClient(peer.ClientOptions{CallTimeout: callTimeout}), announce: make(chan struct{}, 1),
		changed: make(chan struct{}, 1), restored: make(chan struct{}, 1),
		memberStates: make(map[entity.DaemonID]TableStates),
	}
}

// PlacementRank returns the number of instances that should plan placements before this one, as far as it knows. It reports false if
// this one should not: it is not the collector of its zone, or is isolated. The collector of a zone that is isolated is replaced by
// the first member in contact with it that is not.
func (s *Sharer) PlacementRank() (rank int, candidate bool) {
	if s.isolated() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if rank, isCollector := s.table.CollectorRank(now); isCollector {
		return rank, true
	}
	collector := s.table.Collector(now).ID
	replaces := s.placerID == s.options.Self.ID && s.collectorID == collector
	return s.table.RankOfCollector(now, collector), replaces
}

func (s *Sharer) isolated() bool { return s.options.Isolated != nil && s.options.Isolated() }

// RelayPeers returns the other instances that accept relayed requests, as far as this instance knows them.
func (s *Sharer) RelayPeers() (peers []relay.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range s.table.AllOthers(time.Now()) {
		if member.Relay != "" {
			peers = append(peers, relay.Peer{ID: member.ID, Zone: member.Zone, Address: member.Relay})
		}
	}
	return peers
}

// Announce makes this instance start an exchange with others at once, for news that cannot wait for the next period.
func (s *Sharer) Announce() {
	select {
	case s.announce <- struct{}{}:
	default: // an exchange is already requested
	}
}

// Run answers other instances and exchanges loads with them until ctx is done. It returns an error if the listener
// cannot be opened.
func (s *Sharer) Run(ctx context.Context) error {
	listener, err := s.options.Listen("tcp", s.options.Self.Address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	server, err := peer.NewRPCServer("LoadShare", rpcService{s}, peer.ServerOptions{})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.Serve(ctx, listener); err != nil {
			log.Errorf("peer listener failed: %v", err)
		}
	})
	running.Go(func() { s.syncMembers(ctx) })
	running.Go(func() { s.pushChanges(ctx) })
	ticker := time.NewTicker(sharePeriod)
	defer ticker.Stop()
	for period := 0; ctx.Err() == nil; period++ {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			s.step(ctx, period)
		case <-s.announce:
			s.step(ctx, 0)
		}
	}
	running.Wait()
	s.client.Close()
	return nil
}

// step sends this instance's loads to the collector of its zone, or calls collect if this instance is the collector.
func (s *Sharer) step(ctx context.Context, period int) {
	s.mu.Lock()
	now := time.Now()
	known := len(s.table.Members(now))
	candidates := s.table.Candidates(now, s.options.Self.Zone)
	s.mu.Unlock()
	if len(candidates) == 0 {
		s.collect(ctx, period)
		return
	}
	skipLoads := period%loadshare.PeriodsBetweenLoads(known) != 0
	collector := firstReply(candidates, func(candidate loadshare.Member) *ShareReply {
		return s.share(ctx, candidate, known, skipLoads)
	})
	if collector == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectorID, s.placerID = collector.Self.ID, collector.Placer
	s.takeTables(collector)
	if !skipLoads {
		s.options.View.SetOtherLoads(collector.Others, collector.Instances, false)
	}
}

// firstReply asks all candidates at the same time and returns the reply of the first one in their order that answers; nil if none does.
func firstReply[Reply any](candidates []loadshare.Member, ask func(loadshare.Member) *Reply) *Reply {
	replies := make([]*Reply, len(candidates))
	var calls sync.WaitGroup
	for i, candidate := range candidates {
		calls.Go(func() { replies[i] = ask(candidate) })
	}
	calls.Wait()
	for _, reply := range replies {
		if reply != nil {
			return reply
		}
	}
	return nil
}

// share sends this instance's loads to a candidate for the collector and records what it knows; the reply is nil if it does not answer.
func (s *Sharer) share(ctx context.Context, candidate loadshare.Member, known int, skipLoads bool) *ShareReply {
	args := s.shareArgs(candidate, known)
	args.SkipLoads = skipLoads
	reply := new(ShareReply)
	err := s.client.Call(ctx, candidate.Address, shareCall, args, reply)
	if err == nil && reply.Self.ID != candidate.ID {
		err = errors.New("another instance answers at the address of the collector")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFailure(candidate, err)
		return nil
	}
	s.options.View.MergeCrashEvidence(reply.Crashes)
	s.table.RecordContact(time.Now(), reply.Self)
	s.table.Add(reply.Members...)
	s.observeVersions(reply.Versions)
	return reply
}

// shareArgs returns the message for the collector. known is the number of instances of the zone that this one knows.
func (s *Sharer) shareArgs(collector loadshare.Member, known int) *ShareArgs {
	args := &ShareArgs{
		From: s.options.Self, Loads: s.options.View.OwnLoads(), Known: known, Versions: s.versions(),
		Crashes: s.options.View.CrashEvidence(), Isolated: s.isolated(),
	}
	tables := s.options.Tables
	if tables == nil {
		return args
	}
	states := tables.States()
	args.Copies, args.ReadsFailing = &states, tables.ReadsFailing()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.collectorID == collector.ID && s.collectorStates != nil {
		args.Changes = tables.News(*s.collectorStates)
	}
	return args
}

// takeTables applies what a collector's reply says about the tables of the store. A collector of an earlier version of
// the program says nothing, so that this instance reads the store itself. The caller holds s.mu.
func (s *Sharer) takeTables(reply *ShareReply) {
	tables := s.options.Tables
	if tables == nil {
		return
	}
	s.collectorStates = reply.Copies
	tables.Offer(reply.Changes)
	if states := tables.States(); !states.Configuration.Loaded || !states.Targets.Loaded {
		time.AfterFunc(joinPeriod, s.Announce)
	}
	tables.SetRole(tablecache.Role{
		Reader: reply.Copies == nil || reply.Reader == s.options.Self.ID, Followed: reply.Copies != nil,
		Rank: s.table.Rank(time.Now()),
	})
}

// recordFailure records that a call to an instance failed.
func (s *Sharer) recordFailure(member loadshare.Member, err error) {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		err = remote
	}
	if s.table.RecordFailure(time.Now(), member.ID) {
		log.Event("instance lost", "instance", member.ID, "zone", member.Zone, "error", err.Error())
	}
}
