package loadshare

import (
	"context"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
)

// collect exchanges sums with the collectors of other zones every zonePeriods periods, and passes the loads of all
// other instances to the view.
func (s *Sharer) collect(ctx context.Context, period int) {
	own := s.options.View.OwnLoads()
	if tables := s.options.Tables; tables != nil {
		s.mu.Lock()
		now := time.Now()
		reader := s.table.Reader(now, tables.ReadsFailing())
		followed := len(s.table.Members(now)) > 1
		rank, _ := s.table.CollectorRank(now)
		s.mu.Unlock()
		tables.SetRole(tablecache.Role{Reader: reader.ID == s.options.Self.ID, Followed: followed, ServesZones: rank == 0})
	}
	if period%zonePeriods == 0 {
		s.mu.Lock()
		now := time.Now()
		sum, instances := s.table.ZoneLoads(now, own)
		zones := s.table.OtherZones(now)
		candidates := make([][]loadshare.Member, len(zones))
		for i, zone := range zones {
			candidates[i] = s.table.Candidates(now, zone)
		}
		s.mu.Unlock()
		var exchanges sync.WaitGroup
		for _, zone := range candidates {
			exchanges.Go(func() { s.exchangeZone(ctx, zone, sum, instances) })
		}
		exchanges.Wait()
	}
	s.mu.Lock()
	others, instances := s.table.Others(time.Now(), nil, s.options.Self.ID)
	s.mu.Unlock()
	s.options.View.SetOtherLoads(others, instances, true)
}

// exchangeZone exchanges sums with the collector of another zone, the first of the candidates that answers.
func (s *Sharer) exchangeZone(ctx context.Context, candidates []loadshare.Member, sum loadshare.Loads, instances int) {
	collector := firstReply(candidates, func(candidate loadshare.Member) *ZoneReply {
		return s.shareWithZone(ctx, candidate, sum, instances)
	})
	if collector == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetZoneLoads(time.Now(), collector.Self.Zone, collector.Loads, collector.Instances)
}

// shareWithZone sends the sum of this zone's loads to a candidate for the collector of another zone and records what it knows; the reply
// is nil if it does not answer.
func (s *Sharer) shareWithZone(ctx context.Context, candidate loadshare.Member, sum loadshare.Loads, instances int) *ZoneReply {
	args := &ZoneArgs{
		From: s.options.Self, Loads: sum, Instances: instances, Versions: s.versions(),
		Crashes: s.options.View.CrashEvidence(),
	}
	tables := s.options.Tables
	if tables != nil && tables.Stale() {
		states := tables.States()
		args.Copies = &states
	}
	reply := new(ZoneReply)
	err := s.client.Call(ctx, candidate.Address, zoneCall, args, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.recordFailure(candidate, err)
		return nil
	}
	s.options.View.MergeCrashEvidence(reply.Crashes)
	if tables != nil {
		tables.Offer(reply.Changes)
	}
	s.observeVersions(reply.Versions)
	s.table.RecordContact(time.Now(), reply.Self)
	return reply
}
