package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
)

// fixedPeers is a Peers with a fixed set of live zone peers and no other zones.
type fixedPeers []entity.DaemonID

func (p fixedPeers) ZonePeers(time.Time) []entity.DaemonID                  { return p }
func (p fixedPeers) ZoneRepresentatives(time.Time, int) [][]entity.DaemonID { return nil }
func (p fixedPeers) Partner(time.Time) (entity.DaemonID, bool)              { return "", false }
func (p fixedPeers) KnownPeers() []entity.DaemonID                          { return p }
func readsPlatform(commands []rollout.Command) bool {
	for _, command := range commands {
		if _, ok := command.(rollout.ReadPlatform); ok {
			return true
		}
	}
	return false
}

// Guards against a burst of reads when a platform outage ends: during and after the outage, 410 daemons must not issue
// more than 200 reads in any second. The platform serves about 2,000 reads/s.
func TestNoReadStormAfterOutage(t *testing.T) {
	const daemons, zonePeers, limit = 410, 31, 200
	peers := make(fixedPeers, zonePeers)
	for i := range peers {
		peers[i] = entity.DaemonID(fmt.Sprint(i))
	}
	var rollouts []*rollout.Rollout
	for i := range daemons {
		rollouts = append(rollouts, rollout.New(rollout.Options{Peers: peers, Rand: rand.New(rand.NewPCG(1, uint64(i)))}))
	}
	now, record := time.Unix(1e9, 0), &rollout.Record{Version: 1}
	perSecond := map[int]int{}
	for tick := range 6000 {
		now = now.Add(100 * time.Millisecond)
		outage := tick > 1200 && tick < 3600
		for _, machine := range rollouts {
			if readsPlatform(machine.Step(now)) {
				perSecond[tick/10]++
				machine.Step(now, rollout.PlatformRead{Record: record, Failed: outage})
			}
		}
	}
	total := 0
	for second, n := range perSecond {
		if second > 0 && n > limit { // all daemons start in second 0
			t.Errorf("%d reads in second %d, want at most %d", n, second, limit)
		}
		if second >= 400 {
			total += n
		}
	}
	if mean := float64(total) / 200; mean < 10 || mean > 20 {
		t.Errorf("%.1f reads/s after the outage, want about 14", mean)
	}
}

// Guards against changes that lose earlier marks or their target descriptions, and against marks that accumulate
// without bound.
func TestChangesKeepMarks(t *testing.T) {
	at := time.Unix(1e9, 0)
	target := &entity.Target{ID: "new"}
	apply := func(before *rollout.Record, at time.Time, marks ...entity.Mark) *rollout.Record {
		t.Helper()
		after, err := rollout.Change{ID: "c", By: "eva", At: at, Preset: &rollout.PresetRef{Name: "day", Revision: 1}, Marks: marks}.Apply(before)
		if err != nil {
			t.Fatal(err)
		}
		return after
	}
	record := apply(nil, at,
		entity.Mark{ID: "old", State: entity.LeaveMark}, entity.Mark{ID: "new", State: entity.JoinMark, Target: target},
		entity.Mark{ID: "back", State: entity.JoinMark})
	record = apply(record, at.Add(time.Hour), entity.Mark{ID: "new", State: entity.LeaveMark})
	record = apply(record, at.Add(time.Hour), entity.Mark{ID: "new", State: entity.JoinMark})
	if mark := record.Mark("new"); mark == nil || mark.Target != target || mark.State != entity.JoinMark || mark.By != "eva" {
		t.Errorf("mark of a described target = %+v", mark)
	}
	record = apply(record, at.Add(48*time.Hour))
	if record.Mark("old") == nil || record.Mark("new") == nil || record.Mark("back") != nil || record.Version != 4 {
		t.Errorf("after two days: %+v", record)
	}
	if _, err := (rollout.Change{ID: "c"}).Apply(record); errkind.Of(err) != errkind.BadRequest {
		t.Errorf("empty change: %v", err)
	}
	if _, err := (rollout.Change{ID: "c", Marks: []entity.Mark{{ID: "x"}}}).Apply(nil); errkind.Of(err) != errkind.BadRequest {
		t.Errorf("mark without a preset: %v", err)
	}
}
