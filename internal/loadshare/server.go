package loadshare

import (
	"fmt"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
)

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
	own, isolated := s.options.View.OwnLoads(), s.isolated()
	reply.Crashes = s.exchangeCrashes(args.Crashes)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetReport(now, args.From, loadshare.Report{
		Loads: args.Loads, ReadsFailing: args.ReadsFailing, Isolated: args.Isolated,
	})
	reply.Placer = s.table.Placer(now, isolated).ID
	if tables := s.options.Tables; tables != nil && args.Copies != nil {
		s.memberStates[args.From.ID] = *args.Copies
		tables.Offer(args.Changes)
		states := tables.States()
		reply.Copies, reply.Changes = &states, tables.Since(*args.Copies)
		reply.Reader = s.table.Reader(now, tables.ReadsFailing()).ID
	}
	s.observeVersions(args.Versions)
	reply.Self, reply.Versions = s.options.Self, s.versions()
	if !args.SkipLoads {
		reply.Others, reply.Instances = s.table.Others(now, own, args.From.ID)
	}
	if members := s.table.Members(now); len(members) != args.Known {
		reply.Members = members
	}
	return nil
}

func (s *Sharer) handleZone(args *ZoneArgs, reply *ZoneReply) error {
	own := s.options.View.OwnLoads()
	reply.Crashes = s.exchangeCrashes(args.Crashes)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordContact(now, args.From)
	s.table.SetZoneLoads(now, args.From.Zone, args.Loads, args.Instances)
	if s.options.Tables != nil && args.Copies != nil {
		reply.Changes = s.options.Tables.News(*args.Copies)
	}
	s.observeVersions(args.Versions)
	reply.Self, reply.Versions = s.options.Self, s.versions()
	reply.Loads, reply.Instances = s.table.ZoneLoads(now, own)
	return nil
}

// exchangeCrashes merges the crash evidence of another instance and returns that of this one. News is passed on at
// once.
func (s *Sharer) exchangeCrashes(evidence []quarantine.Evidence) []quarantine.Evidence {
	if s.options.View.MergeCrashEvidence(evidence) {
		s.Announce()
	}
	return s.options.View.CrashEvidence()
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
	if versions.NewestConfiguration > s.highestConfiguration {
		s.highestConfiguration = versions.NewestConfiguration
		s.Announce()
	}
}
