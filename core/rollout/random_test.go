package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/peerset"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/core/virtualtime"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

const (
	zones                = 3
	zoneDaemons          = 3
	callTimeout          = time.Second
	convergenceTime      = 17 * time.Second // limit for a change to be in force at every reachable daemon (requirement I7)
	pushTime             = 3 * time.Second  // limit for a change to reach the zone peers and the other zones (requirement I5)
	lossRate             = 0.05
	maxConsecutiveLosses = 3 // more would act as a partition that checkConverged does not know of
)

// epoch is the wall-clock time at which the simulation starts.
var epoch = time.Unix(1e9, 0)

// daemon is a simulated daemon. generation increases at each stop and start, so that late replies can be discarded.
type daemon struct {
	id               entity.DaemonID
	zone             int
	up               bool
	generation       int
	upSince          time.Time
	peers            *peerset.Set
	rollout          *rollout.Rollout
	version          uint64
	heldSince        map[uint64]time.Time
	highestHeld      uint64                     // by any of its processes; see putInForce
	zonePeersAtStart map[*daemon]processVersion // versions in force at zone peers when this process started
}

type processVersion struct {
	generation int
	version    uint64
}

// cluster simulates the daemons, the network and the platform. connectedSince[i][j] is the time at which the
// connection between zones i and j last came up; index zones stands for the platform.
type cluster struct {
	t              *testing.T
	rand           *rand.Rand
	scheduler      virtualtime.Scheduler
	daemons        []*daemon
	linked         [zones + 1][zones + 1]bool
	connectedSince [zones + 1][zones + 1]time.Time
	outage         bool
	tableRecord    *rollout.Record
	losses         map[[2]int]int
	lastLoss       map[[2]int]time.Time
	restarts       int
	failed         string
}

func (c *cluster) now() time.Time { return epoch.Add(c.scheduler.Now()) }

func (c *cluster) fail(format string, args ...any) {
	if c.failed == "" {
		c.failed = fmt.Sprintf(format, args...)
	}
}

func (c *cluster) connected(i, j int) bool {
	return i == j || (c.linked[i][j] && !(c.outage && (i == zones || j == zones)))
}

func (c *cluster) link(i, j int, up bool) {
	if up && !c.linked[i][j] {
		c.connectedSince[i][j], c.connectedSince[j][i] = c.now(), c.now()
	}
	c.linked[i][j], c.linked[j][i] = up, up
}

// delay returns a message delay, usually a few milliseconds and sometimes long enough to reorder messages.
func (c *cluster) delay() time.Duration {
	if c.rand.IntN(20) == 0 {
		return time.Duration(c.rand.IntN(700)) * time.Millisecond
	}
	return time.Duration(1+c.rand.IntN(10)) * time.Millisecond
}

// loseMessage decides at random whether a message between two nodes is lost.
func (c *cluster) loseMessage(i, j int) bool {
	key := [2]int{min(i, j), max(i, j)}
	if c.rand.Float64() >= lossRate || c.losses[key] >= maxConsecutiveLosses {
		c.losses[key] = 0
		return false
	}
	c.losses[key]++
	c.lastLoss[key] = c.now()
	return true
}

func (c *cluster) start(i int) {
	d := c.daemons[i]
	d.up, d.upSince, d.version = true, c.now(), 0
	d.generation++
	d.heldSince = map[uint64]time.Time{}
	self := peerset.Info{
		ID: d.id, Zone: entity.ZoneID(fmt.Sprint(d.zone)), Address: string(d.id), Incarnation: uint64(c.now().UnixNano()),
	}
	d.peers = peerset.New(peerset.Options{Self: self, Rand: c.rand})
	d.zonePeersAtStart = map[*daemon]processVersion{}
	for _, other := range c.daemons {
		if other == d {
			continue
		}
		d.peers.AddSeed(c.now(), string(other.id), entity.ZoneID(fmt.Sprint(other.zone)))
		if other.zone == d.zone && other.up {
			d.zonePeersAtStart[other] = processVersion{other.generation, other.version}
		}
	}
	d.rollout = rollout.New(rollout.Options{Peers: d.peers, Rand: c.rand})
	c.tick(i, d.generation, 0)
}

func (c *cluster) tick(i, generation, count int) {
	d := c.daemons[i]
	if !d.up || d.generation != generation {
		return
	}
	if count%10 == 0 {
		d.peers.IncrementHeartbeat(d.version, true)
		for _, id := range d.peers.ZonePeers(c.now()) {
			c.call(i, id, func(to *daemon) func() {
				to.peers.MergeDirect(c.now(), d.peers.Self())
				return func() {}
			}, func() {})
		}
	}
	c.step(i)
	c.scheduler.After(100*time.Millisecond, func() { c.tick(i, generation, count+1) })
}

// call delivers a request, possibly twice, and its reply. handle runs at the receiver and returns the function that
// runs at the caller when the reply arrives. failed runs at the caller if no reply arrives within the timeout.
func (c *cluster) call(from int, id entity.DaemonID, handle func(*daemon) func(), failed func()) {
	caller, generation := c.daemons[from], c.daemons[from].generation
	receiverIndex, _ := strconv.Atoi(strings.TrimPrefix(strings.TrimPrefix(string(id), peerset.AddressPrefix), "d"))
	receiver, done := c.daemons[receiverIndex], false
	waiting := func() bool { return caller.up && caller.generation == generation && !done }
	deliver := func(repeated bool) {
		if !receiver.up || !c.connected(caller.zone, receiver.zone) {
			return
		}
		answer := handle(receiver)
		if repeated || c.loseMessage(from, receiverIndex) {
			return
		}
		c.scheduler.After(c.delay(), func() {
			if waiting() && c.connected(caller.zone, receiver.zone) {
				done = true
				answer()
			}
		})
	}
	if !c.loseMessage(from, receiverIndex) {
		c.scheduler.After(c.delay(), func() { deliver(false) })
	}
	if c.rand.IntN(20) == 0 {
		c.scheduler.After(2*c.delay(), func() { deliver(true) })
	}
	c.scheduler.After(callTimeout, func() {
		if waiting() {
			caller.peers.RecordFailedCall(id)
			failed()
		}
	})
}

func heldVersion(d *daemon) uint64 {
	if held := d.rollout.Held(); held != nil {
		return held.Version
	}
	return 0
}

func (c *cluster) step(i int, inputs ...rollout.Input) {
	d := c.daemons[i]
	commands := append([]rollout.Command{}, d.rollout.Step(c.now(), inputs...)...)
	if held := heldVersion(d); held != 0 && d.heldSince[held].IsZero() {
		d.heldSince[held] = c.now()
		d.highestHeld = max(d.highestHeld, held)
	}
	for _, command := range commands {
		switch command := command.(type) {
		case rollout.ReadPlatform:
			c.read(i)
		case rollout.Exchange:
			c.exchange(i, command)
		case rollout.Announce:
			c.announce(i, command)
		case rollout.PutInForce:
			c.putInForce(d, command.Record)
		}
	}
}

func (c *cluster) read(i int) {
	d, generation := c.daemons[i], c.daemons[i].generation
	finish := func(result rollout.PlatformRead) {
		if d.up && d.generation == generation {
			c.step(i, result)
		}
	}
	c.scheduler.After(c.delay(), func() {
		if !c.connected(d.zone, zones) || c.loseMessage(i, len(c.daemons)) {
			c.scheduler.After(callTimeout, func() { finish(rollout.PlatformRead{Failed: true}) })
			return
		}
		record := c.tableRecord
		c.scheduler.After(c.delay(), func() { finish(rollout.PlatformRead{Record: record}) })
	})
}

func (c *cluster) exchange(i int, command rollout.Exchange) {
	d := c.daemons[i]
	self, held := d.peers.Self(), heldVersion(d)
	peer := d.peers.Get(command.To)
	sample := d.peers.Sample(c.now(), peer.Zone, 3, 15)
	c.call(i, command.To, func(to *daemon) func() {
		to.peers.MergeDirect(c.now(), self)
		to.peers.Merge(c.now(), self.Version, sample)
		c.step(c.index(to), rollout.PeerCalled{Peer: self.ID, Incarnation: self.Incarnation, Version: held})
		answer, news, record := to.peers.Self(), to.peers.Sample(c.now(), self.Zone, 3, 15), to.rollout.Held()
		version := heldVersion(to)
		return func() {
			d.peers.MergeDirect(c.now(), answer)
			d.peers.Merge(c.now(), answer.Version, news)
			d.peers.RemoveSeed(command.To)
			if version > held {
				c.step(i, rollout.RecordAvailable{Record: record, Peer: answer.ID, Incarnation: answer.Incarnation})
			}
			c.step(i, rollout.PeerAnswered{Peer: answer.ID, Incarnation: answer.Incarnation, Version: version})
		}
	}, func() { c.step(i, rollout.CallFailed{Peer: command.To}) })
}

func (c *cluster) announce(i int, command rollout.Announce) {
	d := c.daemons[i]
	self, sent := d.peers.Self(), command.Record.Version
	c.call(i, command.To, func(to *daemon) func() {
		to.peers.MergeDirect(c.now(), self)
		c.step(c.index(to), rollout.RecordAvailable{Record: command.Record, Peer: self.ID, Incarnation: self.Incarnation})
		answer, version := to.peers.Self(), heldVersion(to)
		return func() {
			d.peers.MergeDirect(c.now(), answer)
			c.step(i, rollout.PeerAnswered{
				Peer: command.To, Incarnation: answer.Incarnation, Version: version, Announced: sent,
			})
		}
	}, func() { c.step(i, rollout.CallFailed{Peer: command.To, Announced: sent}) })
}

func (c *cluster) index(d *daemon) int {
	i, _ := strconv.Atoi(string(d.id)[1:])
	return i
}

// putInForce checks that versions increase, that a restarted daemon does not start with a lower version than its zone
// peers had in force, and that the zone peers have received the version before unless the announcement timed out.
// It compares with the version held by any process of a peer, since a process that ends after it has acknowledged a
// version loses it without the announcing daemon noticing.
func (c *cluster) putInForce(d *daemon, record *rollout.Record) {
	if record.Version <= d.version {
		c.fail("%s replaces version %d with version %d", d.id, d.version, record.Version)
	}
	if d.version == 0 {
		for other, atStart := range d.zonePeersAtStart {
			if other.up && other.generation == atStart.generation && record.Version < atStart.version {
				c.fail("%s starts with version %d while %s had version %d in force", d.id, record.Version, other.id, atStart.version)
			}
		}
	}
	since := d.heldSince[record.Version]
	if c.now().Sub(since) < rollout.DefaultAnnounceTimeout {
		for _, id := range d.peers.ZonePeers(c.now()) {
			other := c.daemons[int(id[1]-'0')]
			if other.up && other.upSince.Before(since) && other.highestHeld < record.Version {
				c.fail("%s puts version %d in force before %s has received it", d.id, record.Version, id)
			}
		}
	}
	d.version = record.Version
}

// write simulates an operator's change at a daemon. In one case of four the response is lost, and the daemon receives
// its own write as any other daemon does.
func (c *cluster) write(i int) {
	d, generation := c.daemons[i], c.daemons[i].generation
	if !d.up || !c.connected(d.zone, zones) {
		return
	}
	version := uint64(1)
	if c.tableRecord != nil {
		version = c.tableRecord.Version + 1
	}
	c.tableRecord = &rollout.Record{Version: version}
	record, written := c.tableRecord, c.now()
	c.scheduler.After(convergenceTime, func() { c.checkConverged(version, written) })
	if c.rand.IntN(4) == 0 {
		return
	}
	c.scheduler.After(c.delay(), func() {
		if d.up && d.generation == generation {
			c.step(i, rollout.RecordAvailable{Record: record, Source: rollout.FromWrite})
			c.checkPushLater(i, version)
		}
	})
}

// checkPushLater checks after 3 s that a daemon that has written a version has delivered it to each live zone peer and
// to one daemon of each other zone, if no message between them was lost.
func (c *cluster) checkPushLater(i int, version uint64) {
	writer, begin := c.daemons[i], c.now()
	generation := writer.generation
	var receivers [zones][]*daemon
	for _, d := range c.daemons {
		peer := writer.peers.Get(d.id)
		if peer != nil && writer.peers.Live(c.now(), peer) {
			receivers[d.zone] = append(receivers[d.zone], d)
		}
	}
	c.scheduler.After(pushTime, func() {
		if !writer.up || writer.generation != generation {
			return
		}
		for zone, group := range receivers {
			missing := 0
			for _, d := range group {
				key := [2]int{min(i, c.index(d)), max(i, c.index(d))}
				reachable := d.up && d.upSince.Before(begin) && c.connected(writer.zone, zone) &&
					!c.connectedSince[writer.zone][zone].After(begin) && c.lastLoss[key].Before(begin)
				if reachable && d.highestHeld < version {
					missing++
				}
			}
			if missing > 0 && (zone == writer.zone || missing == len(group)) {
				c.fail("version %d of %s has not reached %d of %d daemons of zone %d after %s",
					version, writer.id, missing, len(group), zone, pushTime)
			}
		}
	})
}

// checkConverged checks that a version is in force at every daemon that has been reachable since the write, either from
// the platform or through a daemon of a zone that could reach the platform.
func (c *cluster) checkConverged(version uint64, written time.Time) {
	connectedSinceWrite := func(i, j int) bool { return i == j || c.connected(i, j) && !c.connectedSince[i][j].After(written) }
	upSinceWrite := func(d *daemon) bool { return d.up && !d.upSince.After(written) }
	for _, d := range c.daemons {
		if !upSinceWrite(d) || d.version >= version {
			continue
		}
		for _, other := range c.daemons {
			if upSinceWrite(other) && connectedSinceWrite(other.zone, zones) && connectedSinceWrite(d.zone, other.zone) {
				c.fail("version %d, written at %s, is not in force at %s after %s, which has version %d",
					version, written.Format("15:04:05.000"), d.id, convergenceTime, d.version)
			}
		}
	}
}

// injectFault performs a random fault, repair or write and schedules the next.
func (c *cluster) injectFault() {
	i, j := c.rand.IntN(zones), c.rand.IntN(zones+1)
	switch c.rand.IntN(9) {
	case 8:
		c.restartConnectedToStaleZone()
	case 0:
		if i != j {
			c.link(i, j, false)
		}
	case 1, 2:
		if i != j {
			c.link(i, j, true)
		}
	case 3:
		before := c.outage
		c.outage = c.rand.IntN(3) == 0
		if before && !c.outage {
			for zone := range zones {
				c.connectedSince[zone][zones], c.connectedSince[zones][zone] = c.now(), c.now()
			}
		}
	case 4, 5:
		c.restart(c.rand.IntN(len(c.daemons)), time.Duration(c.rand.IntN(10000))*time.Millisecond)
	default:
		c.write(c.rand.IntN(len(c.daemons)))
	}
	c.scheduler.After(time.Duration(c.rand.IntN(8000))*time.Millisecond, c.injectFault)
}

// restartConnectedToStaleZone restarts a daemon whose zone is cut off from the platform just as a zone that has missed
// a change is reconnected to the daemon's zone, so that the restarted daemon receives differing answers.
func (c *cluster) restartConnectedToStaleZone() {
	zone := c.rand.IntN(zones)
	stale, writer := (zone+1)%zones, (zone+2)%zones
	c.link(stale, zone, false)
	c.link(stale, writer, false)
	c.link(stale, zones, false)
	c.link(writer, zone, true)
	c.link(writer, zones, true)
	c.write(writer)
	c.scheduler.After(3*time.Second, func() {
		c.link(zone, writer, false)
		c.link(zone, zones, false)
		c.link(stale, zone, true)
		c.restart(zone, 50*time.Millisecond)
	})
}

func (c *cluster) restart(i int, pause time.Duration) {
	d := c.daemons[i]
	if !d.up {
		return
	}
	d.up = false
	d.generation++
	c.restarts++
	c.scheduler.After(pause, func() { c.start(i) })
}

// Guards against a running daemon whose version decreases, a daemon that restarts in a partitioned zone with a lower
// version than a zone peer has in force, and a version that does not reach all reachable daemons within 17 s. Messages
// are delayed, lost and repeated, zones are cut off, daemons restart and the platform fails.
func TestRandomisedRollout(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 1_000_000)
	c := &cluster{t: t, rand: rand.New(rand.NewPCG(seed, 0)), losses: map[[2]int]int{},
		lastLoss: map[[2]int]time.Time{}}
	for i := range zones * zoneDaemons {
		c.daemons = append(c.daemons, &daemon{id: entity.DaemonID(fmt.Sprintf("d%d", i)), zone: i % zones})
	}
	for i := range zones + 1 {
		for j := range zones + 1 {
			c.link(i, j, true)
		}
	}
	for i := range c.daemons {
		c.start(i)
	}
	c.scheduler.After(time.Second, c.injectFault)
	for step := range steps {
		if !c.scheduler.Step() {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: step %d: no events are left", seed, steps, step)
		}
		if c.failed != "" {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: step %d, virtual time %s: %s",
				seed, steps, step, c.scheduler.Now(), c.failed)
		}
	}
	if c.tableRecord == nil || c.restarts == 0 {
		t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d: %d restarts; want restarts and changes", seed, steps, c.restarts)
	}
	t.Logf("%d steps, virtual time %s, %d changes, %d restarts", steps, c.scheduler.Now(), c.tableRecord.Version, c.restarts)
}
