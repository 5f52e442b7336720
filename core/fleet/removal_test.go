package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

func newBoundFleet() *Fleet {
	f := New()
	f.DrainBound = drainBound
	return f
}

// TestRemoval guards against a removed target that is used longer than the bound because one instance could not read
// the store, and against one that is dropped although its entry may only have lapsed while the store was down.
func TestRemoval(t *testing.T) {
	const never = -time.Hour // longer ago than any bound
	for name, test := range map[string]struct {
		after, returnedAt, recoveredAt time.Duration
		// learned is when the removal is learned, until when the target is used; 0 if it is dropped at once.
		learned, until time.Duration
	}{
		"no trouble": {after: 9 * time.Second, returnedAt: never, recoveredAt: never, learned: 10 * time.Second},
		"after failed reads": {after: 10 * time.Second, returnedAt: never, recoveredAt: 9500 * time.Millisecond,
			learned: 10 * time.Second, until: 11500 * time.Millisecond},
		"while reads failed": {after: 9 * time.Second, returnedAt: never, recoveredAt: 10 * time.Second,
			learned: 10 * time.Second, until: 10800 * time.Millisecond},
		"learned late from another instance": {after: 9 * time.Second, returnedAt: never, recoveredAt: 9 * time.Second,
			learned: 10500 * time.Millisecond, until: 10800 * time.Millisecond},
		"learned after the bound": {after: 9 * time.Second, returnedAt: never, recoveredAt: 10900 * time.Millisecond,
			learned: 10900 * time.Millisecond},
		"long after failed reads": {after: 12 * time.Second, returnedAt: never, recoveredAt: 10 * time.Second,
			learned: 12 * time.Second},
		"in an outage": {after: 5 * time.Second, returnedAt: 10 * time.Second, recoveredAt: 10 * time.Second,
			learned: 10 * time.Second, until: 12 * time.Second},
		"in an outage, learned late": {after: 5 * time.Second, returnedAt: 10 * time.Second, recoveredAt: 10 * time.Second,
			learned: 11500 * time.Millisecond, until: 12 * time.Second},
		"in an outage that no failed read has shown": {after: 5 * time.Second, returnedAt: 10 * time.Second,
			recoveredAt: never, learned: 10 * time.Second, until: 12 * time.Second},
		"right after an outage": {after: 10300 * time.Millisecond, returnedAt: 10 * time.Second,
			recoveredAt: 10 * time.Second, learned: 10600 * time.Millisecond, until: 12 * time.Second},
		"still missing after an outage": {after: 5 * time.Second, returnedAt: 10 * time.Second, recoveredAt: 10 * time.Second,
			learned: 12 * time.Second},
		"known before an outage": {after: 9 * time.Second, returnedAt: never, recoveredAt: never, learned: 9500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			at := func(d time.Duration) time.Time { return start.Add(d) }
			f := newBoundFleet()
			f.Put(plainTarget("t", "a"))
			kept := f.Remove(at(test.learned), "t", Removal{
				After: at(test.after), ReturnedAt: at(test.returnedAt), RecoveredAt: at(test.recoveredAt),
			})
			if kept != (test.until > 0) {
				t.Fatalf("kept %v, want %v", kept, test.until > 0)
			}
			if !kept {
				if f.Get("t") != nil {
					t.Error("the target is kept")
				}
				return
			}
			if !f.Get("t").Usable(at(test.until - 1)) {
				t.Errorf("the target is not usable right before %v", test.until)
			}
			if f.Get("t").InService(at(test.until)) {
				t.Errorf("the target is used after %v", test.until)
			}
			f.Tick(at(test.until))
			if f.Get("t") != nil {
				t.Error("the target is not dropped")
			}
		})
	}
}

// TestSecondOutageDoesNotProlongRemoval guards against a target that is gone and is used again and again for the time
// after each of several outages.
func TestSecondOutageDoesNotProlongRemoval(t *testing.T) {
	f := newBoundFleet()
	f.Put(plainTarget("t", "a"))
	f.Remove(start, "t", Removal{ReturnedAt: start})
	f.Retain(start.Add(time.Second), nil, Removal{ReturnedAt: start.Add(time.Second)})
	if f.Get("t").InService(start.Add(lapseRecoveryTime)) {
		t.Error("the target is used longer than the first outage allows")
	}
}

// TestReturnAfterOutage checks that a target is kept if its entry returns after a store outage.
func TestReturnAfterOutage(t *testing.T) {
	f := newBoundFleet()
	f.Put(plainTarget("t1", "a"))
	if kept := f.Retain(start, nil, Removal{ReturnedAt: start}); kept != 1 {
		t.Errorf("%d targets stay in use, want 1", kept)
	}
	f.Put(plainTarget("t1", "a"))
	f.Tick(start.Add(time.Minute))
	if f.Get("t1") == nil {
		t.Error("target whose entry returned was dropped")
	}
}

const (
	simulationStep = 50 * time.Millisecond
	// contactTime is how long an instance and the store must be without trouble until the bounds hold.
	contactTime = 3 * time.Second
	// staleTime is the age of a copy from which an instance reads the store itself.
	staleTime = 1400 * time.Millisecond
	// minLapseOutage is the shortest outage in which entries lapse: two heartbeats and more.
	minLapseOutage = 2400 * time.Millisecond
	shareInterval  = 250 * time.Millisecond
	readInterval   = 300 * time.Millisecond
)

// span is a time in a simulation, in steps.
type span struct{ from, to int }

func (s span) has(step int) bool { return s.from <= step && step < s.to }

// simulatedStore holds the entry of one target.
type simulatedStore struct {
	version rowversion.Version
	listed  bool
	row     tablecache.Row
}

func (s *simulatedStore) write(listed bool) {
	s.version++
	s.listed = listed
	s.row = tablecache.Row{Key: "t", Version: s.version, Deleted: !listed}
}

func (s *simulatedStore) changes(after rowversion.Version) tablecache.Batch {
	batch := tablecache.Batch{After: after, Version: s.version}
	if s.row.Version > after {
		batch.Rows = []tablecache.Row{s.row}
	}
	return batch
}

// simulatedInstance is an instance of a zone that is cut off from the store or paused at times.
type simulatedInstance struct {
	cache       tablecache.Cache
	fleet       *Fleet
	cut, paused span
	nextRead    int
	failures    int
}

func (i *simulatedInstance) apply(now time.Time, change tablecache.Change) {
	removal := Removal{After: change.After, ReturnedAt: change.ReturnedAt, RecoveredAt: change.RecoveredAt}
	for _, row := range change.Rows {
		if row.Deleted {
			i.fleet.Remove(now, entity.TargetID(row.Key), removal)
		} else {
			i.fleet.Put(plainTarget(entity.TargetID(row.Key), "a"))
		}
	}
	i.fleet.Tick(now)
}

// simulation is a zone whose instances follow the list of targets, with at most one outage of the store, in which the
// entry of the target may lapse, and at most one removal of the target.
type simulation struct {
	random    *rand.Rand
	store     simulatedStore
	instances []*simulatedInstance
	outage    span
	// lapse is the time in which the entry is missing because of the outage; removal is when the target goes, 0 if it
	// stays.
	lapse   span
	removal int
}

const simulationSteps = 500

func steps(d time.Duration) int { return int(d / simulationStep) }

func newSimulation(random *rand.Rand) *simulation {
	s := &simulation{random: random}
	s.store.write(true)
	for range 2 + random.IntN(3) {
		i := &simulatedInstance{fleet: newBoundFleet(), cache: tablecache.Cache{Bound: drainBound}}
		if random.IntN(2) == 0 {
			i.cut.from = random.IntN(simulationSteps)
			i.cut.to = i.cut.from + random.IntN(steps(10*time.Second))
		}
		if random.IntN(4) == 0 {
			i.paused.from = random.IntN(simulationSteps)
			i.paused.to = i.paused.from + random.IntN(steps(6*time.Second))
		}
		s.instances = append(s.instances, i)
	}
	s.instances[0].cut, s.instances[0].paused = span{}, span{} // in contact all the time
	if random.IntN(2) == 0 {
		s.outage.from = steps(contactTime) + random.IntN(simulationSteps/2)
		s.outage.to = s.outage.from + random.IntN(steps(8*time.Second))
		if s.outage.to-s.outage.from >= steps(minLapseOutage) {
			s.lapse = span{s.outage.to - random.IntN(5), s.outage.to + 1 + random.IntN(steps(lapseRecoveryTime-readInterval))}
		}
	}
	if random.IntN(2) == 0 {
		s.removal = 1 + random.IntN(simulationSteps)
	}
	return s
}

// step advances the simulation and returns what is wrong, or "".
func (s *simulation) step(n int) string {
	now := start.Add(time.Duration(n) * simulationStep)
	switch {
	case s.removal > 0 && n > s.removal:
	case s.removal > 0 && n == s.removal:
		if s.store.listed {
			s.store.write(false)
		}
	case n == s.lapse.from && s.lapse.to > 0:
		s.store.write(false)
	case n == s.lapse.to && s.lapse.to > 0:
		s.store.write(true)
	}
	reader := s.reader(n)
	for _, i := range s.instances {
		if i.paused.has(n) {
			continue
		}
		s.read(n, now, i, i == reader)
		if n%steps(shareInterval) == 0 {
			s.share(n, now, i)
		}
		i.fleet.Tick(now)
		if problem := s.check(n, now, i); problem != "" {
			return problem
		}
	}
	return ""
}

// reader returns the instance that follows the table: the last one whose reads do not fail.
func (s *simulation) reader(n int) *simulatedInstance {
	reader := s.instances[0]
	for _, i := range s.instances {
		if i.failures == 0 && !i.paused.has(n) {
			reader = i
		}
	}
	return reader
}

func (s *simulation) read(n int, now time.Time, i *simulatedInstance, reader bool) {
	stale := !i.cache.Loaded() || now.Sub(i.cache.ConfirmedAt()) >= staleTime
	if n < i.nextRead || !reader && !stale {
		return
	}
	i.nextRead = n + steps(readInterval)
	if s.outage.has(n) || i.cut.has(n) {
		i.cache.RecordFailure(now)
		i.failures++
		i.nextRead = n + steps(time.Second)
		return
	}
	i.failures = 0
	batch := s.store.changes(i.cache.Version())
	batch.Full = !i.cache.Loaded()
	i.apply(now, i.cache.ApplyRead(now, batch))
}

// share passes the copy of an instance to another one and takes that one's.
func (s *simulation) share(n int, now time.Time, i *simulatedInstance) {
	other := s.instances[s.random.IntN(len(s.instances))]
	if other == i || other.paused.has(n) {
		return
	}
	for _, pair := range [][2]*simulatedInstance{{i, other}, {other, i}} {
		if batch := pair[0].cache.Since(now, pair[1].cache.State(now)); batch != nil {
			pair[1].apply(now, pair[1].cache.ApplyShared(now, *batch))
		}
	}
}

func (s *simulation) check(n int, now time.Time, i *simulatedInstance) string {
	state := i.fleet.Get("t")
	used := state != nil && state.InService(now)
	removed := s.removal > 0 && n >= s.removal
	late := s.removal + steps(drainBound)
	switch {
	case removed && used && n > late && s.inContact(i, s.removal, n):
		return fmt.Sprintf("used %v after its removal", time.Duration(n-s.removal)*simulationStep)
	case !removed && !used && n > s.lapse.from && n < s.lapse.to && s.inContact(i, s.outage.from, s.outage.from):
		return fmt.Sprintf("not used %v after the store came back, its entry was back after %v",
			time.Duration(n-s.outage.to)*simulationStep, time.Duration(s.lapse.to-s.outage.to)*simulationStep)
	}
	return ""
}

// inContact reports whether an instance and the store were without trouble from contactTime before the step from up to
// the step to.
func (s *simulation) inContact(i *simulatedInstance, from, to int) bool {
	from -= steps(contactTime)
	if from < 0 {
		return false
	}
	for _, trouble := range []span{s.outage, i.cut, i.paused} {
		if trouble.from < to && from < trouble.to {
			return false
		}
	}
	return true
}

// TestRandomisedRemovals guards against removed targets that an instance in contact with the store uses longer than the
// bound while others are cut off from the store or paused, and against targets whose entries lapsed in an outage and are
// not used until they are back.
func TestRandomisedRemovals(t *testing.T) {
	seed, total := testenv.Seed(t, 1), testenv.Steps(t, 500_000)
	random := rand.New(rand.NewPCG(seed, 0))
	for done := uint64(0); done < total; done += simulationSteps {
		s := newSimulation(random)
		for n := range simulationSteps {
			if problem := s.step(n); problem != "" {
				t.Fatalf("step %d: %s (outage %v, lapse %v, removal %d) HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d", n, problem,
					s.outage, s.lapse, s.removal, seed, total)
			}
		}
	}
}
