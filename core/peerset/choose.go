package peerset

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// ZonePeers returns the other live daemons of this daemon's zone.
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

// KnownPeers returns the ids of all peers, live or not, including the provisional ids of seed addresses.
func (s *Set) KnownPeers() []entity.DaemonID {
	ids := make([]entity.DaemonID, 0, s.peers.Len())
	for id := range s.peers.All {
		ids = append(ids, id)
	}
	return ids
}

// Partner returns a random peer for the next exchange, with equal probability from this daemon's zone and from the
// others. One exchange in 8 goes to a peer that is down, which detects the end of a partition. It reports false if no
// peer is known.
func (s *Set) Partner(now time.Time) (entity.DaemonID, bool) {
	// groups is indexed by zone (0: this daemon's, 1: other), then by state (0: live, 1: down).
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

// Heartbeat is a compact update about a daemon that the receiver already knows. It takes about 12 bytes in gob, an Info
// about 60. Failure detection among 400 daemons needs frequent updates on each, so most are sent in this form.
type Heartbeat struct {
	// Key is a hash of the daemon's id and incarnation.
	Key       uint32
	Heartbeat uint64
	// Behind is the sender's version in force minus the daemon's.
	Behind int64
	// NotReady is the inverse of Info.Ready, since gob omits false values and most daemons are ready.
	NotReady bool
}

// key returns the value of Heartbeat.Key for the daemon.
func (i Info) key() uint32 {
	return uint32(xxhash.Sum64String(fmt.Sprintf("%s\x00%d", i.ID, i.Incarnation)))
}

// News is the gossip about other daemons in one exchange.
type News struct {
	Infos      []Info
	Heartbeats []Heartbeat
}

// Sample returns gossip about random live daemons for a receiver in the given zone, with at most the given numbers of
// Infos and Heartbeats. The heartbeats omit the receiver's zone, whose daemons report to it directly. Most of the
// gossip is about this daemon's zone, on which it has the most recent information.
func (s *Set) Sample(now time.Time, receiverZone entity.ZoneID, infos, heartbeats int) News {
	var own, others, thirdZones []*Peer
	for _, peer := range s.peers.All {
		if !s.Live(now, peer) {
			continue
		}
		if peer.Zone == s.self.Zone {
			own = append(own, peer)
			continue
		}
		others = append(others, peer)
		if peer.Zone != receiverZone {
			thirdZones = append(thirdZones, peer)
		}
	}
	var news News
	for _, peer := range s.choose(own, others, infos) {
		news.Infos = append(news.Infos, peer.Info)
	}
	if receiverZone == s.self.Zone {
		own = nil
	}
	for _, peer := range s.choose(own, thirdZones, heartbeats) {
		news.Heartbeats = append(news.Heartbeats, Heartbeat{
			Key: peer.key, Heartbeat: peer.Heartbeat, Behind: int64(s.self.Version - peer.Version), NotReady: !peer.Ready,
		})
	}
	return news
}

// choose draws up to n different peers, two thirds of them from the first list if it is long enough.
func (s *Set) choose(first, second []*Peer, n int) []*Peer {
	n = min(n, len(first)+len(second))
	fromFirst := min(len(first), max(2*n/3, n-len(second)))
	chosen := make([]*Peer, 0, n)
	chosen = s.draw(chosen, first, fromFirst)
	return s.draw(chosen, second, n-fromFirst)
}

// draw appends n different peers drawn at random from the list, which it reorders.
func (s *Set) draw(chosen, from []*Peer, n int) []*Peer {
	for i := range n {
		j := i + s.rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		chosen = append(chosen, from[i])
	}
	return chosen
}

// ZoneMembers returns all live daemons of a zone except this one. It is sent to a daemon of that zone that has just
// started.
func (s *Set) ZoneMembers(now time.Time, zone entity.ZoneID) []Info {
	var members []Info
	for _, peer := range s.peers.All {
		if peer.Zone == zone && s.Live(now, peer) {
			members = append(members, peer.Info)
		}
	}
	return members
}

// Poller returns the daemon of this daemon's zone that polls the load of a target. It uses rendezvous hashing over the
// live daemons of the zone, so that a daemon that joins or fails changes the poller of its own targets only.
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

// maxSharedTargets is the largest number of targets at which each zone polls all of them. A load summary takes about 30
// bytes per target, so 256 targets every 5 s cause about 1.5 KB/s to each daemon of a zone.
const maxSharedTargets = 256

// Assigned returns the targets that this daemon polls, sorted. With at most 256 targets, the daemons of each zone
// share out all of them; with more, only those of their own zone and of zones without a live daemon.
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
