// Package loadshare tells each instance of a deployment the load that the other instances put on engines.
//
// In each zone the first member, in the order of capacity and then ID, that is not down is the collector: it receives
// the loads of the other members and replies to each with the sum of all loads except that member's own. The collectors
// of the zones exchange their sums. Thus a member sends one message per period regardless of the number of instances,
// and the next member replaces a failed collector. The collector also names the reader of its zone, which follows the
// tables of the store for the other members. The package does no I/O and reads no clock; callers pass the time in.
package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
)

const (
	// loadTTL is how long the loads of an instance count after the last contact with it, and those of another zone
	// after their last update. A dead instance causes no load, since its calls end with it.
	loadTTL = 2 * time.Second
	// membersPerPeriod and maxPeriods set how often a member asks for the loads of the others: every period in a zone
	// of fewer members, and less often in larger ones, since the replies of a collector hold all engines that are in
	// use. With maxPeriods the loads are still renewed well within loadTTL.
	membersPerPeriod = 50
	maxPeriods       = 4
	// maxCandidates bounds the instances that are asked at the same time as the collector of a zone.
	maxCandidates = 32
	// minBackoff and maxBackoff bound the delay before an instance that did not answer is called again.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// removeAfter is how long an instance that does not answer stays in the table.
	removeAfter = time.Minute
)

// Load is the load that one or several instances put on an engine.
type Load struct {
	// Sequences is the number of generations in progress.
	Sequences int32
	// Cache is the size of their KV cache, in tokens times layers.
	Cache float32
	// Slowdown is the factor by which the engine is slower than its published performance, as the engine reports it; 0
	// if the engine was not queried recently or is not slow.
	Slowdown float32
	// Suspected is true if an instance suspects that the engine has failed.
	Suspected bool
	// Responsive is true if the engine has recently answered a query of an instance, Unresponsive if it has left one
	// unanswered. Both can hold, since instances can be cut off from an engine.
	Responsive, Unresponsive bool
}

// Loads maps engines to loads. Engines without load are omitted. Its entries for links are described in link.go.
type Loads map[entity.TargetID]Load

// add adds other to l.
func (l Loads) add(other Loads) {
	for id, load := range other {
		sum := l[id]
		sum.Sequences += load.Sequences
		sum.Cache += load.Cache
		sum.Slowdown = max(sum.Slowdown, load.Slowdown)
		sum.Suspected = sum.Suspected || load.Suspected
		sum.Responsive = sum.Responsive || load.Responsive
		sum.Unresponsive = sum.Unresponsive || load.Unresponsive
		l[id] = sum
	}
}

// Versions holds the highest row versions that an instance has seen in the configuration and targets tables of the
// store. Its fields have other names than before versions had eras, since the numbers cannot be compared.
type Versions struct {
	NewestConfiguration, NewestTarget rowversion.Version
}

// Member identifies an instance.
type Member struct {
	ID   entity.DaemonID
	Zone entity.ZoneID
	// Address is the host:port of its peer listener.
	Address string
	// Incarnation distinguishes successive processes of an instance; a later process has a greater value.
	Incarnation uint64
	// Capacity is the processor share of the instance, in thousandths of a core; 0 if unknown.
	Capacity int
	// Relay is the host:port of its listener for relayed requests; empty if it accepts none.
	Relay string
}

// compareMembers orders the members of a zone. Members with more capacity come first, since the work of a collector
// grows with the number of instances.
func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
}

// Report is what a member tells the collector of its zone.
type Report struct {
	Loads Loads
	// ReadsFailing reports whether the member cannot read the store.
	ReadsFailing bool
	// Isolated reports whether the member has lost its links to all engines.
	Isolated bool
}

// member is an entry of the table.
type member struct {
	Member
	report      Report
	lastContact time.Time
	failures    int
	downUntil   time.Time
	downSince   time.Time
}

// isUp reports whether the member is not in the backoff after a failure.
func (m *member) isUp(now time.Time) bool { return !now.Before(m.downUntil) }

// inContact reports whether the loads of the member still count according to loadTTL.
func (m *member) inContact(now time.Time) bool { return now.Sub(m.lastContact) < loadTTL }

// Table holds what one instance knows about the others. It is not safe for concurrent use.
type Table struct {
	self    Member
	members map[entity.DaemonID]*member
	// zones holds the load sums of the other zones.
	zones map[entity.ZoneID]zoneSum
}

type zoneSum struct {
	loads     Loads
	instances int
	updated   time.Time
}

// New returns the table of the instance self, without other instances.
func New(self Member) *Table {
	return &Table{
		self: self, members: make(map[entity.DaemonID]*member), zones: make(map[entity.ZoneID]zoneSum),
	}
}

// Add adds instances that the store or another instance has listed. A later incarnation replaces an earlier one.
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

// Members returns this instance and the other members of its zone that are not down, in the order of compareMembers.
func (t *Table) Members(now time.Time) []Member {
	members := append(t.upMembers(now, t.self.Zone), t.self)
	slices.SortFunc(members, compareMembers)
	return members
}

// upMembers returns the other instances of a zone that are not down, in no particular order.
func (t *Table) upMembers(now time.Time, zone entity.ZoneID) []Member {
	var members []Member
	for _, m := range t.members {
		if m.Zone == zone && m.isUp(now) {
			members = append(members, m.Member)
		}
	}
	return members
}

// AllOthers returns the other instances of all zones that are not down.
func (t *Table) AllOthers(now time.Time) []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		if m.isUp(now) {
			members = append(members, m.Member)
		}
	}
	return members
}

// Collector returns the collector of this instance's zone, which may be this instance.
func (t *Table) Collector(now time.Time) Member {
	return slices.MinFunc(append(t.upMembers(now, t.self.Zone), t.self), compareMembers)
}

// Candidates returns the instances to ask as the collector of a zone, in the order of compareMembers: the members that are not down,
// up to the first one in contact, at most maxCandidates. In this instance's zone they end before this instance, so that the list is empty
// if it is the collector itself. Entries of instances that are gone for good look like those of members that have not
// been asked yet; asked one after the other, they came back from their backoff before the last one had been asked.
func (t *Table) Candidates(now time.Time, zone entity.ZoneID) []Member {
	members := t.upMembers(now, zone)
	if zone == t.self.Zone {
		members = slices.DeleteFunc(members, func(m Member) bool { return compareMembers(m, t.self) > 0 })
	}
	slices.SortFunc(members, compareMembers)
	inContact := slices.IndexFunc(members, func(m Member) bool { return t.members[m.ID].inContact(now) })
	if inContact >= 0 {
		members = members[:inContact+1]
	}
	return members[:min(len(members), maxCandidates)]
}

// OtherZones returns the other zones in which an instance is not down, sorted.
func (t *Table) OtherZones(now time.Time) (zones []entity.ZoneID) {
	for _, m := range t.members {
		if m.Zone != t.self.Zone && m.isUp(now) && !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Reader returns the member that follows the tables of the store for this instance's zone: the first one in contact
// that can read the store, beginning with this instance, the collector. ownReadsFailing reports whether this one
// cannot.
func (t *Table) Reader(now time.Time, ownReadsFailing bool) Member {
	return t.firstWithout(now, ownReadsFailing, func(r Report) bool { return r.ReadsFailing })
}

// Placer returns the member that plans placements for this instance's zone: the first one in contact that is not isolated from
// engines, beginning with this instance, the collector. ownIsolated reports whether this one is.
func (t *Table) Placer(now time.Time, ownIsolated bool) Member {
	return t.firstWithout(now, ownIsolated, func(r Report) bool { return r.Isolated })
}

// firstWithout returns this instance, unless it has a failure, or the first other member in contact whose report has none. If all
// have it, the result is this instance.
func (t *Table) firstWithout(now time.Time, own bool, failure func(Report) bool) Member {
	if !own {
		return t.self
	}
	for _, candidate := range t.InContact(now) {
		if !failure(t.members[candidate.ID].report) {
			return candidate
		}
	}
	return t.self
}

// OtherCollectors returns the collectors of the other zones, sorted by ID.
func (t *Table) OtherCollectors(now time.Time) []Member {
	var collectors []Member
	for _, zone := range t.OtherZones(now) {
		collectors = append(collectors, slices.MinFunc(t.upMembers(now, zone), compareMembers))
	}
	slices.SortFunc(collectors, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return collectors
}

// Rank returns the number of members of this instance's zone that are not down and come before it.
func (t *Table) Rank(now time.Time) (rank int) {
	for _, m := range t.upMembers(now, t.self.Zone) {
		if compareMembers(m, t.self) < 0 {
			rank++
		}
	}
	return rank
}

// CollectorRank returns the number of collectors of other zones with a lower ID than this instance. It reports false if
// this instance is not a collector.
func (t *Table) CollectorRank(now time.Time) (rank int, isCollector bool) {
	if t.Collector(now).ID != t.self.ID {
		return 0, false
	}
	return t.RankOfCollector(now, t.self.ID), true
}

// RankOfCollector returns the number of collectors of other zones with a lower ID than that of the collector of this instance's zone.
func (t *Table) RankOfCollector(now time.Time, id entity.DaemonID) (rank int) {
	for _, collector := range t.OtherCollectors(now) {
		if collector.ID < id {
			rank++
		}
	}
	return rank
}

// RecordContact records that an instance has answered or called, which ends its backoff.
func (t *Table) RecordContact(now time.Time, from Member) {
	t.Add(from)
	m := t.members[from.ID]
	if m == nil || m.Incarnation > from.Incarnation {
		return
	}
	m.lastContact, m.failures, m.downUntil, m.downSince = now, 0, time.Time{}, time.Time{}
}

// RecordFailure records that an instance did not answer, and extends its backoff exponentially. It reports whether the
// instance is newly down.
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

// RemoveExpired removes the instances that have been down for more than removeAfter, and returns them.
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

// SetReport stores the report of a member of this instance's zone, unless it comes from an earlier incarnation.
func (t *Table) SetReport(now time.Time, from Member, report Report) {
	t.RecordContact(now, from)
	if m := t.members[from.ID]; m != nil && m.Incarnation == from.Incarnation {
		m.report = report
	}
}

// PeriodsBetweenLoads returns the number of periods between two messages in which a member of a zone with the given
// number of members asks for the loads of the others.
func PeriodsBetweenLoads(members int) int { return min(maxPeriods, 1+members/membersPerPeriod) }

// InContact returns the other members of this instance's zone whose loads still count according to loadTTL, in the
// order of compareMembers.
func (t *Table) InContact(now time.Time) []Member {
	members := slices.DeleteFunc(t.upMembers(now, t.self.Zone), func(m Member) bool {
		return !t.members[m.ID].inContact(now)
	})
	slices.SortFunc(members, compareMembers)
	return members
}

// SetZoneLoads stores the load sum and the number of instances of another zone.
func (t *Table) SetZoneLoads(now time.Time, zone entity.ZoneID, loads Loads, instances int) {
	t.zones[zone] = zoneSum{loads: loads, instances: instances, updated: now}
}

// ZoneLoads returns the sum of the loads in this instance's zone and the number of its live instances. own holds the
// loads of this instance.
func (t *Table) ZoneLoads(now time.Time, own Loads) (Loads, int) {
	sum := Loads{}
	sum.add(own)
	instances := 1
	for _, m := range t.members {
		if m.Zone == t.self.Zone && m.inContact(now) {
			sum.add(m.report.Loads)
			instances++
		}
	}
	return sum, instances
}

// Instances counts live instances: this one, and the others whose loads still count according to loadTTL.
type Instances struct {
	// Zone is the number in this instance's zone, All the number in all zones.
	Zone, All int
}

// Others returns the sum of the loads of all instances other than except, and the number of live instances including
// except. own holds the loads of this instance.
func (t *Table) Others(now time.Time, own Loads, except entity.DaemonID) (Loads, Instances) {
	sum := Loads{}
	instances := Instances{Zone: 1, All: 1}
	if except != t.self.ID {
		sum.add(own)
	}
	for id, m := range t.members {
		if m.Zone != t.self.Zone || !m.inContact(now) {
			continue
		}
		instances.Zone++
		instances.All++
		if id != except {
			sum.add(m.report.Loads)
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
