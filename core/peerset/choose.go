package peerset

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// ZonePeers returns the live daemons of the own zone other than this one.
func (s *Set) ZonePeers(now time.Time) []entity.DaemonID {
	var ids []entity.DaemonID
	for id, peer := range s.peers.All {
		if peer.Zone == s.self.Zone && s.Live(now, peer) {
			ids = append(ids, id)
		}
	}
	return ids
}

// ZoneRepresentatives returns, for each other zone with live daemons, up to n of them in random order.
func (s *Set) ZoneRepresentatives(now time.Time, n int) [][]entity.DaemonID {
	var zones []entity.ZoneID
	members := make(map[entity.ZoneID][]entity.DaemonID)
	for id, peer := range s.peers.All {
		if peer.Zone == s.self.Zone || !s.Live(now, peer) {
			continue
		}
		if members[peer.Zone] == nil {
			zones = append(zones, peer.Zone)
		}
		members[peer.Zone] = append(members[peer.Zone], id)
	}
	chosen := make([][]entity.DaemonID, 0, len(zones))
	for _, zone := range zones {
		ids := members[zone]
		s.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		chosen = append(chosen, ids[:min(n, len(ids))])
	}
	return chosen
}

// Contacts returns all daemons and addresses, live or not.
func (s *Set) KnownPeers() []entity.DaemonID {
	ids := make([]entity.DaemonID, 0, s.peers.Len())
	for id := range s.peers.All {
		ids = append(ids, id)
	}
	return ids
}

// Partner returns a peer for the next exchange, half of the time in the own zone. One exchange in 8 goes to a daemon
// that is down, so that the end of a partition is noticed. It reports false if no other daemon is known.
func (s *Set) Partner(now time.Time) (entity.DaemonID, bool) {
	// groups is indexed by own zone or not, then by live or not.
	var groups [2][2][]entity.DaemonID
	for id, peer := range s.peers.All {
		zone, state := 1, 1
		if peer.Zone == s.self.Zone {
			zone = 0
		}
		if s.Live(now, peer) {
			state = 0
		}
		groups[zone][state] = append(groups[zone][state], id)
	}
	zone := s.rand.IntN(2)
	if len(groups[zone][0])+len(groups[zone][1]) == 0 {
		zone = 1 - zone
	}
	state := 0
	if s.rand.IntN(downPeerDivisor) == 0 {
		state = 1
	}
	candidates := groups[zone][state]
	if len(candidates) == 0 {
		candidates = groups[zone][1-state]
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[s.rand.IntN(len(candidates))], true
}

// Heartbeat is short news of a daemon that the receiver knows already. Its gob form takes about 12 bytes, an Info about
// 60, and news of 400 daemons must arrive often enough to tell which of them are up.
type Heartbeat struct {
	// Key is a hash of the id and incarnation.
	Key       uint32
	Heartbeat uint64
	// Behind is the version in force at the sender of the news less that at the daemon.
	Behind int64
	// NotReady is the opposite of Info.Ready: gob leaves false out.
	NotReady bool
}

// key returns the Key of a Heartbeat.
func (i Info) key() uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", i.ID, i.Incarnation)))
}

// News is what an exchange tells of other daemons.
type News struct {
	Infos      []Info
	Heartbeats []Heartbeat
}

// Sample returns news of up to infos and heartbeats live daemons for a receiver in a zone. The heartbeats leave out the
// receiver's zone, whose daemons it hears directly. Most of the news are of the own zone, where they are the freshest.
func (s *Set) Sample(now time.Time, receiver entity.ZoneID, infos, heartbeats int) News {
	var own, others, reported []*Peer
	for _, peer := range s.peers.All {
		if !s.Live(now, peer) {
			continue
		}
		if peer.Zone == s.self.Zone {
			own = append(own, peer)
			continue
		}
		others = append(others, peer)
		if peer.Zone != receiver {
			reported = append(reported, peer)
		}
	}
	var news News
	for _, peer := range s.choose(own, others, infos) {
		news.Infos = append(news.Infos, peer.Info)
	}
	if receiver == s.self.Zone {
		own = nil
	}
	for _, peer := range s.choose(own, reported, heartbeats) {
		news.Heartbeats = append(news.Heartbeats, Heartbeat{
			Key: peer.key, Heartbeat: peer.Heartbeat, Behind: int64(s.self.Version - peer.Version), NotReady: !peer.Ready,
		})
	}
	return news
}

// choose draws up to n different rows, two thirds of them from the first list while it lasts.
func (s *Set) choose(first, second []*Peer, n int) []*Peer {
	n = min(n, len(first)+len(second))
	fromFirst := min(len(first), max(2*n/3, n-len(second)))
	chosen := make([]*Peer, 0, n)
	chosen = s.draw(chosen, first, fromFirst)
	return s.draw(chosen, second, n-fromFirst)
}

// draw appends n different rows and reorders the list that they are drawn from.
func (s *Set) draw(chosen, from []*Peer, n int) []*Peer {
	for i := range n {
		j := i + s.rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		chosen = append(chosen, from[i])
	}
	return chosen
}

// ZoneMembers returns all live daemons of a zone, this one excluded, for a daemon of that zone that has just started.
func (s *Set) ZoneMembers(now time.Time, zone entity.ZoneID) []Info {
	var members []Info
	for _, peer := range s.peers.All {
		if peer.Zone == zone && s.Live(now, peer) {
			members = append(members, peer.Info)
		}
	}
	return members
}

// Poller returns the daemon of the own zone that polls the load of a target, by rendezvous hashing over the live
// daemons of the zone. Only the targets of a daemon that joins or fails change their poller.
func (s *Set) Poller(now time.Time, target entity.TargetID) entity.DaemonID {
	return s.poller(s.ZonePeers(now), target)
}

func (s *Set) poller(zonePeers []entity.DaemonID, target entity.TargetID) entity.DaemonID {
	best, bestWeight := s.self.ID, weight(s.self.ID, target)
	for _, id := range zonePeers {
		if w := weight(id, target); w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}

func weight(daemon entity.DaemonID, target entity.TargetID) uint64 {
	return xxhash.Sum64String(string(daemon) + "\x00" + string(target))
}

// maxSharedTargets is the number of targets up to which each zone polls all of them. A summary of one target has about
// 30 bytes, so 256 targets every 5 s are about 1.5 KB/s to each daemon of a zone.
const maxSharedTargets = 256

// Assigned returns the targets that this daemon polls, sorted. With at most 256 targets, the daemons of each zone
// divide all of them among themselves; with more, those of their own zone and of zones without a live daemon.
func (s *Set) Assigned(now time.Time, targets []entity.Target) []entity.TargetID {
	liveZones := map[entity.ZoneID]bool{s.self.Zone: true}
	for _, peer := range s.peers.All {
		if s.Live(now, peer) {
			liveZones[peer.Zone] = true
		}
	}
	zonePeers := s.ZonePeers(now)
	var assigned []entity.TargetID
	for _, target := range targets {
		if len(targets) > maxSharedTargets && target.Zone != s.self.Zone && liveZones[target.Zone] {
			continue
		}
		if s.poller(zonePeers, target.ID) == s.self.ID {
			assigned = append(assigned, target.ID)
		}
	}
	slices.SortFunc(assigned, cmp.Compare)
	return assigned
}
