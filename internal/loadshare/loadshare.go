// Package loadshare runs the protocol of core/loadshare between edge daemons. They exchange loads over net/rpc on the
// internal port, and discover each other through a table in the store.
package loadshare

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
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
	// listPeriod is the mean time between two reads of the list of instances. Instances also learn of new ones from each
	// other.
	listPeriod     = 20 * time.Second
	listRetryDelay = time.Second
	listLimit      = 500
	storeTimeout   = time.Second

	instancesTable = "instances"
	shareCall      = "LoadShare.Share"
	zoneCall       = "LoadShare.Zone"
)

var log = logging.For("loadshare")

// View provides this instance's loads and receives those of the others. Its methods are safe for concurrent use.
type View interface {
	// OwnLoads returns this instance's load on engines.
	OwnLoads() loadshare.Loads
	// SetOtherLoads sets the loads of all other instances and the numbers of instances, including this one.
	SetOtherLoads(loads loadshare.Loads, instances loadshare.Instances)
}

// Tables tracks the versions of the store's tables that each instance follows. Its methods are safe for concurrent use.
type Tables interface {
	// Versions returns the highest versions that this instance has seen.
	Versions() loadshare.Versions
	// Observe records the highest versions that another instance has seen.
	Observe(versions loadshare.Versions)
}

// Options configures a Sharer.
type Options struct {
	Self  loadshare.Member
	View  View
	Table platform.TableStore
	// Tables, if set, lets the instances detect that one of them no longer receives changes.
	Tables Tables
	// Listen opens the peer listener at Self.Address; net.Listen if nil.
	Listen func(network, address string) (net.Listener, error)
}

// ShareArgs reports the loads of an instance to the collector of its zone.
type ShareArgs struct {
	From  loadshare.Member
	Loads loadshare.Loads
	// Known is the number of instances of the zone that the sender knows.
	Known    int
	Versions loadshare.Versions
}

// ShareReply returns the loads of all other instances.
type ShareReply struct {
	Self      loadshare.Member
	Others    loadshare.Loads
	Instances loadshare.Instances
	// Members lists the instances of the zone. It is set only if their number differs from ShareArgs.Known.
	Members  []loadshare.Member
	Versions loadshare.Versions
}

// ZoneArgs reports the summed loads of a zone to the collector of another zone.
type ZoneArgs struct {
	From      loadshare.Member
	Loads     loadshare.Loads
	Instances int
	Versions  loadshare.Versions
}

// ZoneReply returns the summed loads of the other zone.
type ZoneReply struct {
	Self      loadshare.Member
	Loads     loadshare.Loads
	Instances int
	Versions  loadshare.Versions
}

// Sharer exchanges loads with other instances.
type Sharer struct {
	options Options
	client  *peer.Client

	// announce makes Run start an exchange at once.
	announce chan struct{}

	mu    sync.Mutex
	table *loadshare.Table
	// highestConfiguration is the highest configuration version that other instances have reported.
	highestConfiguration uint64
}

// New returns a sharer, which does nothing until Run is called.
func New(options Options) *Sharer {
	if options.Listen == nil {
		options.Listen = net.Listen
	}
	return &Sharer{
		options: options, table: loadshare.New(options.Self),
		client: peer.NewClient(peer.ClientOptions{CallTimeout: callTimeout}), announce: make(chan struct{}, 1),
	}
}

// CollectorRank returns the rank of this instance among the collectors of all zones, as far as it knows. It reports false
// if this instance is not a collector.
func (s *Sharer) CollectorRank() (rank int, isCollector bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CollectorRank(time.Now())
}

// rpcService exports the RPC methods.
type rpcService struct{ sharer *Sharer }

// Share answers a member of the same zone.
func (s rpcService) Share(args *ShareArgs, reply *ShareReply) error {
	return s.sharer.handleShare(args, reply)
}

// Zone answers the collector of another zone.
func (s rpcService) Zone(args *ZoneArgs, reply *ZoneReply) error {
	return s.sharer.handleZone(args, reply)
}

func (s *Sharer) handleShare(args *ShareArgs, reply *ShareReply) error {
	if args.From.Zone != s.options.Self.Zone {
		return fmt.Errorf("instance %s belongs to another zone", args.From.ID)
	}
	own := s.options.View.OwnLoads()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetLoads(now, args.From, args.Loads)
	s.observeVersions(args.Versions)
	reply.Self, reply.Versions = s.options.Self, s.versions()
	reply.Others, reply.Instances = s.table.Others(now, own, args.From.ID)
	if members := s.table.Members(now); len(members) != args.Known {
		reply.Members = members
	}
	return nil
}

func (s *Sharer) handleZone(args *ZoneArgs, reply *ZoneReply) error {
	own := s.options.View.OwnLoads()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordContact(now, args.From)
	s.table.SetZoneLoads(now, args.From.Zone, args.Loads, args.Instances)
	s.observeVersions(args.Versions)
	reply.Self, reply.Versions = s.options.Self, s.versions()
	reply.Loads, reply.Instances = s.table.ZoneLoads(now, own)
	return nil
}

func (s *Sharer) versions() (versions loadshare.Versions) {
	if s.options.Tables != nil {
		versions = s.options.Tables.Versions()
	}
	return versions
}

// observeVersions records the versions that another instance has seen. The version of a new configuration is passed on
// at once.
func (s *Sharer) observeVersions(versions loadshare.Versions) {
	if s.options.Tables == nil {
		return
	}
	s.options.Tables.Observe(versions)
	if versions.Configuration > s.highestConfiguration {
		s.highestConfiguration = versions.Configuration
		s.Announce()
	}
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
	collector := s.table.Collector(now)
	known := len(s.table.Members(now))
	s.mu.Unlock()
	if collector.ID == s.options.Self.ID {
		s.collect(ctx, period)
		return
	}
	args := &ShareArgs{From: s.options.Self, Loads: s.options.View.OwnLoads(), Known: known, Versions: s.versions()}
	var reply ShareReply
	err := s.client.Call(ctx, collector.Address, shareCall, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFailure(collector, err)
		return
	}
	if reply.Self.ID != collector.ID {
		s.recordFailure(collector, errors.New("another instance answers at the address of the collector"))
		return
	}
	s.table.RecordContact(time.Now(), reply.Self)
	s.table.Add(reply.Members...)
	s.observeVersions(reply.Versions)
	s.options.View.SetOtherLoads(reply.Others, reply.Instances)
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

// collect exchanges sums with the collectors of other zones every zonePeriods periods, and passes the loads of all other
// instances to the view.
func (s *Sharer) collect(ctx context.Context, period int) {
	own := s.options.View.OwnLoads()
	if period%zonePeriods == 0 {
		s.mu.Lock()
		now := time.Now()
		collectors := s.table.OtherCollectors(now)
		sum, instances := s.table.ZoneLoads(now, own)
		s.mu.Unlock()
		var calls sync.WaitGroup
		for _, collector := range collectors {
			calls.Go(func() { s.exchangeZone(ctx, collector, sum, instances) })
		}
		calls.Wait()
	}
	s.mu.Lock()
	others, instances := s.table.Others(time.Now(), nil, s.options.Self.ID)
	s.mu.Unlock()
	s.options.View.SetOtherLoads(others, instances)
}

func (s *Sharer) exchangeZone(ctx context.Context, collector loadshare.Member, sum loadshare.Loads, instances int) {
	args := &ZoneArgs{From: s.options.Self, Loads: sum, Instances: instances, Versions: s.versions()}
	var reply ZoneReply
	err := s.client.Call(ctx, collector.Address, zoneCall, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFailure(collector, err)
		return
	}
	now := time.Now()
	s.observeVersions(reply.Versions)
	s.table.RecordContact(now, reply.Self)
	s.table.SetZoneLoads(now, reply.Self.Zone, reply.Loads, reply.Instances)
}

// syncMembers adds this instance to the list of instances in the store, and reads the list at intervals until ctx is
// done.
func (s *Sharer) syncMembers(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		wait := time.Duration(float64(listPeriod) * (0.75 + 0.5*rand.Float64()))
		if !registered {
			registered = s.register(ctx)
		}
		if !s.readMembers(ctx) || !registered {
			wait = listRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// register writes the entry of this instance. It reports whether no further attempt is needed.
func (s *Sharer) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := string(s.options.Self.ID)
	stored, err := s.options.Table.Get(ctx, instancesTable, key)
	if err != nil {
		return false
	}
	version := uint64(0)
	if stored != nil {
		version = stored.Version
	}
	write, err := platform.NewWrite(instancesTable, key, version, s.options.Self)
	if err != nil {
		log.Errorf("failed to encode the entry of this instance: %v", err)
		return true
	}
	_, err = s.options.Table.Commit(ctx, write)
	return err == nil
}

// readMembers reads the list of instances and reports whether the store answered.
func (s *Sharer) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.options.Table.List(ctx, instancesTable, "", "", listLimit)
	if err != nil {
		return false
	}
	var members []loadshare.Member
	for _, row := range rows {
		var member loadshare.Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.ID == "" {
			log.Event("entry is no instance", "key", row.Key)
			continue
		}
		members = append(members, member)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(members...)
	s.table.RemoveExpired(time.Now())
	return true
}
