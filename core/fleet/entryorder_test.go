package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

// TestLateEntries guards against a target that is used although it drains or is gone because the store performs the write of an earlier
// entry late (review/15), and against one that is never used again because a known entry has a wrong number.
func TestLateEntries(t *testing.T) {
	entry := func(born, revision int64, draining bool) Target {
		return Target{ID: "t", Born: born, Revision: revision, Draining: draining}
	}
	type write struct {
		at      time.Duration
		entry   Target
		removed bool
	}
	for name, test := range map[string]struct {
		writes []write
		want   bool // in service right after the last one
	}{
		"older entry of a draining process": {[]write{{0, entry(5, 8, true), false}, {2, entry(5, 5, false), false}}, false},
		"two older ones":                    {[]write{{0, entry(5, 8, true), false}, {2, entry(5, 5, false), false}, {4, entry(5, 6, false), false}}, false},
		"older process":                     {[]write{{0, entry(5, 1, true), false}, {2, entry(4, 90, false), false}}, false},
		"older entry that drains":           {[]write{{0, entry(5, 1, false), false}, {2, entry(4, 9, true), false}}, true},
		"restarted, counts begin anew":      {[]write{{0, entry(5, 90, true), false}, {2, entry(6, 1, false), false}}, true},
		"restarted, counts begin with 0":    {[]write{{0, entry(5, 90, true), false}, {2, entry(6, 0, false), false}}, true},
		"later entry":                       {[]write{{0, entry(5, 8, false), false}, {2, entry(5, 9, false), false}}, true},
		"the same entry":                    {[]write{{0, entry(5, 8, false), false}, {2, entry(5, 8, false), false}}, true},
		"removed, older entry":              {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {5, entry(5, 7, false), false}}, false},
		"removed, two older entries": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {2, entry(5, 6, false), false},
			{6, entry(5, 7, false), false}}, false},
		"removed, entry of the process before": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {5, entry(4, 90, false), false}}, false},
		"removed twice, older entry": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {3, entry(5, 7, false), false},
			{4, Target{}, true}, {6, entry(5, 7, false), false}}, false},
		"removed, entry that was not known": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {5, entry(5, 9, false), false}}, false},
		"removed, written again": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {5, entry(5, 9, false), false},
			{6, entry(5, 10, false), false}}, true},
		"removed, entry that was not known, long ago": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true},
			{20, entry(5, 9, false), false}}, true},
		"removed, started again": {[]write{{0, entry(5, 8, false), false}, {1, Target{}, true}, {5, entry(6, 1, false), false}}, true},
		"late entry is read again long after": {[]write{{0, entry(5, 8, true), false}, {2, entry(5, 5, false), false},
			{30, entry(5, 5, false), false}}, false},
		"known entry has a wrong number": {[]write{{0, entry(99, 99, true), false}, {2, entry(5, 1, false), false},
			{8, entry(5, 2, false), false}, {13, entry(5, 3, false), false}}, true},
		"known entry has a wrong number and is removed": {[]write{{0, entry(99, 99, false), false}, {1, Target{}, true},
			{2, entry(5, 1, false), false}, {8, entry(5, 2, false), false}, {13, entry(5, 3, false), false}}, true},
		"late entries around a later one": {[]write{{0, entry(5, 8, true), false}, {2, entry(5, 5, false), false},
			{8, entry(5, 9, true), false}, {13, entry(5, 6, false), false}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newBoundFleet()
			now := start
			for _, w := range test.writes {
				now = start.Add(w.at * time.Second)
				f.Tick(now)
				if w.removed {
					f.Remove(now, "t", Removal{After: now.Add(-10 * time.Second)})
				} else {
					f.Put(w.entry)
				}
			}
			if state := f.Get("t"); (state != nil && state.InService(now)) != test.want {
				t.Errorf("in service %v, want %v", !test.want, test.want)
			}
		})
	}
}

// TestLateEntryDoesNotKeepRemovedTarget guards against a target that is only kept in case its entry has lapsed, and is used longer because
// of a late write.
func TestLateEntryDoesNotKeepRemovedTarget(t *testing.T) {
	f := newBoundFleet()
	f.Put(Target{ID: "t", Born: 5, Revision: 8})
	f.Remove(start, "t", Removal{ReturnedAt: start})
	f.Put(Target{ID: "t", Born: 5, Revision: 7})
	if f.Get("t").InService(start.Add(lapseRecoveryTime)) {
		t.Error("the target is in service")
	}
}

// TestRandomisedLateEntries plays the processes of a target that drain, go and start again, and whose writes are performed up to six
// seconds late. A process that is known to drain or to be gone must not be in service again, and one that has just written that it
// is ready must be.
func TestRandomisedLateEntries(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 200_000)
	p := &lateEntryPlay{
		random: rand.New(rand.NewPCG(seed, 0)), fleet: newBoundFleet(), now: start, own: Target{ID: "t", Born: 1},
		ended: make(map[int64]bool),
	}
	for done := range steps {
		if err := p.step(); err != nil {
			t.Fatalf("seed %d, step %d: %v", seed, done, err)
		}
	}
	if p.late == 0 || len(p.ended) < 10 {
		t.Errorf("%d late writes of older entries, %d processes: the test shows nothing", p.late, len(p.ended))
	}
}

const (
	playHeartbeat = time.Second
	// longestDelay is the longest time by which the store performs a write late.
	longestDelay = 6 * time.Second
	// playExpiry is the time after which an entry that is not written again is removed.
	playExpiry = 4 * time.Second
)

// lateWrite is a write that the store performs later.
type lateWrite struct {
	at    time.Time
	entry Target
}

// lateEntryPlay plays the entries of one target in steps of a tenth of a second.
type lateEntryPlay struct {
	random *rand.Rand
	fleet  *Fleet
	now    time.Time
	// own is the entry that the present process wrote last, at wroteAt.
	own     Target
	wroteAt time.Time
	pending []lateWrite
	// storedAt is when the entry in the store was written; zero if there is none.
	storedAt time.Time
	// ended holds the processes that are known to drain or to be gone, by their start time.
	ended map[int64]bool
	late  int
}

func (p *lateEntryPlay) step() error {
	p.now = p.now.Add(100 * time.Millisecond)
	p.fleet.Tick(p.now)
	p.performLateWrites()
	wroteReady := false
	switch {
	case p.now.Sub(p.wroteAt) >= playHeartbeat:
		wroteReady = p.write()
	case p.random.IntN(100) == 0:
		p.own.Draining = true
	case p.ended[p.own.Born] && p.random.IntN(50) == 0:
		p.startAgain()
	case !p.storedAt.IsZero() && p.now.Sub(p.storedAt) >= playExpiry:
		p.fleet.Remove(p.now, "t", Removal{})
		p.storedAt = time.Time{}
	}
	state := p.fleet.Get("t")
	inService := state != nil && state.InService(p.now)
	if inService && p.ended[state.Born] {
		return fmt.Errorf("process %d is in service again by its entry %d", state.Born, state.Revision)
	}
	if wroteReady && (!inService || state.Born != p.own.Born) {
		return fmt.Errorf("process %d is not in service, %+v", p.own.Born, state)
	}
	return nil
}

func (p *lateEntryPlay) performLateWrites() {
	var rest []lateWrite
	for _, w := range p.pending {
		if p.now.Before(w.at) {
			rest = append(rest, w)
			continue
		}
		if !p.fleet.Put(w.entry) {
			p.late++
		}
		p.storedAt = p.now
	}
	p.pending = rest
}

// write writes the next entry of the process. It reports whether the entry, which says that the target is ready, is performed in time.
func (p *lateEntryPlay) write() (ready bool) {
	p.own.Revision++
	p.wroteAt = p.now
	if p.random.IntN(3) == 0 {
		p.pending = append(p.pending, lateWrite{p.now.Add(time.Duration(p.random.Int64N(int64(longestDelay)))), p.own})
		return false
	}
	p.fleet.Put(p.own)
	p.storedAt = p.now
	if p.own.Draining {
		p.ended[p.own.Born] = true
	}
	return !p.own.Draining
}

// startAgain removes the entry of the process and starts another one, which writes its first entry some time later.
func (p *lateEntryPlay) startAgain() {
	p.fleet.Remove(p.now, "t", Removal{})
	p.storedAt = time.Time{}
	p.own = Target{ID: "t", Born: p.own.Born + 1}
	p.wroteAt = p.now.Add(time.Duration(p.random.Int64N(int64(8 * time.Second))))
}
