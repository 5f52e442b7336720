// Package loadshare lets the instances of a deployment know each other's load on engines.
//
// In each zone the live member with the lowest id collects the loads of the others and answers each with the sum of all
// but its own; the collectors of the zones exchange their sums. Each instance so sends one message a period however many
// there are, and a lost collector is replaced by the next member. The package is pure: time is passed in.
package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// loadLife is how long the loads of an instance count without news. The calls of a dead instance end with it.
	loadTTL = 2 * time.Second
	// minDown and maxDown bound the pause before an instance that did not answer is called again.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// forgetAfter is how long an instance that does not answer is remembered.
	removeAfter = time.Minute
)

// Load is the load of one instance, or of several together, on an engine.
type Load struct {
	// Sequences is the number of generations.
	Sequences int32
	// Cache is their KV cache, in tokens times layers.
	Cache float32
	// Slowdown multiplies the times of the engine as it reports them; 0 if it was not asked.
	Slowdown float32
	// Suspected says that an instance believes the engine to have failed.
	Suspected bool
}

// Loads maps engines to loads; engines without load are left out.
type Loads map[entity.TargetID]Load

// add adds other to l.
func (l Loads) add(other Loads) {
	for id, load := range other {
		sum := l[id]
		sum.Sequences += load.Sequences
		sum.Cache += load.Cache
		sum.Slowdown = max(sum.Slowdown, load.Slowdown)
		sum.Suspected = sum.Suspected || load.Suspected
		l[id] = sum
	}
}

// Versions are the highest versions of rows that an instance has seen in the tables of the store.
type Versions struct {
	Configuration, Targets uint64
}

// Member is an instance.
type Member struct {
	ID   entity.DaemonID
	Zone entity.ZoneID
	// Address is host:port of its peer listener.
	Address string
	// Incarnation tells two processes of one instance apart; the later one is greater.
	Incarnation uint64
}

// member is a row of the table.
type member struct {
	Member
	loads       Loads
	lastContact time.Time
	failures    int
	downUntil   time.Time
	downSince   time.Time
}

// Table is what one instance knows of the others. It is not safe for concurrent use.
type Table struct {
	self    Member
	members map[entity.DaemonID]*member
	// zones holds the sums of other zones.
	zones map[entity.ZoneID]zoneSum
}

type zoneSum struct {
	loads     Loads
	instances int
	updated   time.Time
}

// New returns the table of an instance that knows only itself.
func New(self Member) *Table {
	return &Table{
		self: self, members: make(map[entity.DaemonID]*member), zones: make(map[entity.ZoneID]zoneSum),
	}
}

// Learn takes instances that the store or another instance names.
func (t *Table) Add(members ...Member) {
	for _, m := range members {
		if m.ID == t.self.ID {
			continue
		}
		known := t.members[m.ID]
		if known == nil || m.Incarnation > known.Incarnation {
			t.members[m.ID] = &member{Member: m}
		}
	}
}

// Members returns this instance and the members of its zone that are not down, by id.
func (t *Table) Members(now time.Time) []Member {
	return append(t.upMembers(now, t.self.Zone), t.self)
}

func (t *Table) upMembers(now time.Time, zone entity.ZoneID) []Member {
	var members []Member
	for _, m := range t.members {
		if m.Zone == zone && !now.Before(m.downUntil) {
			members = append(members, m.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Collector returns the instance of the own zone that collects loads; it may be this one.
func (t *Table) Collector(now time.Time) Member {
	members := t.upMembers(now, t.self.Zone)
	if len(members) == 0 || t.self.ID < members[0].ID {
		return t.self
	}
	return members[0]
}

// OtherCollectors returns the instances that collect the loads of the other zones.
func (t *Table) OtherCollectors(now time.Time) []Member {
	seen := map[entity.ZoneID]bool{t.self.Zone: true}
	var collectors []Member
	for _, m := range t.members {
		if seen[m.Zone] {
			continue
		}
		seen[m.Zone] = true
		if members := t.upMembers(now, m.Zone); len(members) > 0 {
			collectors = append(collectors, members[0])
		}
	}
	slices.SortFunc(collectors, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return collectors
}

// Rank returns the number of instances of all zones that are not down and have a lower id than this one.
func (t *Table) Rank(now time.Time) int {
	rank := 0
	for id, m := range t.members {
		if id < t.self.ID && !now.Before(m.downUntil) {
			rank++
		}
	}
	return rank
}

// Heard notes that an instance has answered or called.
func (t *Table) RecordContact(now time.Time, from Member) {
	t.Add(from)
	m := t.members[from.ID]
	if m == nil || m.Incarnation > from.Incarnation {
		return
	}
	m.lastContact, m.failures, m.downUntil, m.downSince = now, 0, time.Time{}, time.Time{}
}

// Failed notes that an instance did not answer. It reports whether the instance counts as down from now on and did not
// before.
func (t *Table) RecordFailure(now time.Time, id entity.DaemonID) bool {
	m := t.members[id]
	if m == nil {
		return false
	}
	m.downUntil = now.Add(min(maxBackoff, minBackoff<<min(m.failures, 4)))
	m.failures++
	if m.downSince.IsZero() {
		m.downSince = now
		return true
	}
	return false
}

// Forget drops the instances that have not answered for a long time, and returns them.
func (t *Table) RemoveExpired(now time.Time) []Member {
	var removed []Member
	for id, m := range t.members {
		if !m.downSince.IsZero() && now.Sub(m.downSince) > removeAfter {
			delete(t.members, id)
			removed = append(removed, m.Member)
		}
	}
	return removed
}

// Report takes the loads of a member of the own zone.
func (t *Table) SetLoads(now time.Time, from Member, loads Loads) {
	t.RecordContact(now, from)
	if m := t.members[from.ID]; m != nil && m.Incarnation == from.Incarnation {
		m.loads = loads
	}
}

// ReportZone takes the sum of another zone.
func (t *Table) SetZoneLoads(now time.Time, zone entity.ZoneID, loads Loads, instances int) {
	t.zones[zone] = zoneSum{loads: loads, instances: instances, updated: now}
}

// Sum returns the loads of the own zone with own as this instance's loads, and the number of instances in it.
func (t *Table) ZoneLoads(now time.Time, own Loads) (Loads, int) {
	sum := Loads{}
	sum.add(own)
	instances := 1
	for _, m := range t.members {
		if m.Zone == t.self.Zone && now.Sub(m.lastContact) < loadTTL {
			sum.add(m.loads)
			instances++
		}
	}
	return sum, instances
}

// Instances counts live instances.
type Instances struct {
	// Zone is the number in the own zone, All that in all zones.
	Zone, All int
}

// Others returns the loads of all instances but except, with own as this instance's loads, and the number of instances.
func (t *Table) Others(now time.Time, own Loads, except entity.DaemonID) (Loads, Instances) {
	sum := Loads{}
	instances := Instances{Zone: 1, All: 1}
	if except != t.self.ID {
		sum.add(own)
	}
	for id, m := range t.members {
		if m.Zone != t.self.Zone || now.Sub(m.lastContact) >= loadTTL {
			continue
		}
		instances.Zone++
		instances.All++
		if id != except {
			sum.add(m.loads)
		}
	}
	for _, zone := range t.zones {
		if now.Sub(zone.updated) < loadTTL {
			sum.add(zone.loads)
			instances.All += zone.instances
		}
	}
	return sum, instances
}
