package tablecache

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/internal/testenv"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func row(key string, version rowversion.Version) Row {
	return Row{Key: key, Version: version, Value: []byte(fmt.Sprint(key, version))}
}

func keys(rows []Row) []string {
	out := []string{}
	for _, r := range rows {
		out = append(out, fmt.Sprintf("%s%d", r.Key, r.Version))
	}
	return out
}

// testBound is the time within which a change must be known in these tests.
const testBound = 2 * time.Second

// loaded returns a cache with the rows a1 and b2, complete up to version 2 and confirmed at the start.
func loaded() *Cache {
	c := &Cache{Bound: testBound}
	c.ApplyRead(start, Batch{Full: true, Rows: []Row{row("a", 1), row("b", 2)}, Version: 2})
	return c
}

// TestApplyShared guards against rows that go back to an earlier version, a gap that is taken for complete, and a
// deleted row that comes back with a late batch.
func TestApplyShared(t *testing.T) {
	for _, test := range []struct {
		name    string
		batch   Batch
		changed []string
		version rowversion.Version
		rows    []string
	}{
		{"next changes", Batch{After: 2, Rows: []Row{row("a", 4)}, Version: 5}, []string{"a4"}, 5, []string{"b2", "a4"}},
		{"overlapping changes", Batch{After: 1, Rows: []Row{row("b", 2), row("c", 3)}, Version: 3}, []string{"c3"}, 3,
			[]string{"a1", "b2", "c3"}},
		{"earlier changes", Batch{After: 0, Rows: []Row{row("a", 1), row("old", 1)}, Version: 1}, nil, 2, []string{"a1", "b2"}},
		{"gap", Batch{After: 3, Rows: []Row{row("a", 4)}, Version: 4}, nil, 2, []string{"a1", "b2"}},
		{"deletion", Batch{After: 2, Rows: []Row{{Key: "a", Version: 3, Deleted: true}}, Version: 3}, []string{"a3"}, 3,
			[]string{"b2"}},
		{"later table", Batch{Full: true, Rows: []Row{row("b", 2), row("d", 6)}, Version: 7}, []string{"b2", "d6"}, 7,
			[]string{"b2", "d6"}},
		{"earlier table", Batch{Full: true, Rows: []Row{row("a", 1)}, Version: 1}, nil, 2, []string{"a1", "b2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := loaded()
			change := c.ApplyShared(at(time.Second), test.batch)
			if got := keys(change.Rows); !slices.Equal(got, append([]string{}, test.changed...)) {
				t.Errorf("changed %v, want %v", got, test.changed)
			}
			if c.Version() != test.version {
				t.Errorf("version %d, want %d", c.Version(), test.version)
			}
			if got := keys(c.Rows()); !slices.Equal(got, test.rows) {
				t.Errorf("rows %v, want %v", got, test.rows)
			}
		})
	}
}

// TestConfirmation guards against a copy that counts as confirmed by a batch with a gap, and against one that is not
// confirmed by an earlier version that was complete at a later time.
func TestConfirmation(t *testing.T) {
	c := loaded()
	c.ApplyShared(at(time.Second), Batch{After: 9, Version: 9})
	if got := c.State(at(time.Second)).Age; got != time.Second {
		t.Errorf("age after a gap %v, want 1s", got)
	}
	c.ApplyShared(at(time.Second), Batch{After: 1, Version: 1, Age: 300 * time.Millisecond})
	if got := c.State(at(time.Second)).Age; got != 300*time.Millisecond {
		t.Errorf("age after the confirmation of an earlier version %v, want 300ms", got)
	}
	c.ApplyShared(at(time.Second), Batch{After: 2, Version: 2, Age: 800 * time.Millisecond})
	if got := c.State(at(time.Second)).Age; got != 300*time.Millisecond {
		t.Errorf("age after an older confirmation %v, want 300ms", got)
	}
}

// TestSince guards against an instance that gets too little: a batch without the deletions that it missed, or one that
// is too large to arrive within the timeout of a call.
func TestSince(t *testing.T) {
	c := loaded()
	c.ApplyRead(start, Batch{After: 2, Rows: []Row{{Key: "a", Version: 3, Deleted: true}, row("c", 4)}, Version: 4})
	if got := c.Since(start, State{Loaded: true, Version: 2}); got.Full || !slices.Equal(keys(got.Rows), []string{"a3", "c4"}) {
		t.Errorf("after version 2: %+v", got)
	}
	if got := c.Since(start, State{Loaded: true, Version: 1}); !got.Full || !slices.Equal(keys(got.Rows), []string{"b2", "c4"}) {
		t.Errorf("after version 1, whose changes are not all known: %+v", got)
	}
	if got := c.Since(start, State{}); !got.Full {
		t.Errorf("for an instance without a copy: %+v", got)
	}
	if got := (&Cache{}).Since(start, State{}); got != nil {
		t.Errorf("from an instance without a copy: %+v", got)
	}
	batch := Batch{After: 4, Version: 5}
	for i := range maxBatchRows + 1 {
		batch.Rows = append(batch.Rows, row(fmt.Sprint("x", i), 5))
	}
	c.ApplyRead(start, batch)
	if got := c.Since(start, State{Loaded: true, Version: 4}); got != nil {
		t.Errorf("a batch of %d rows", len(got.Rows))
	}
}

// modelStore is a table with its complete history.
type modelStore struct {
	version rowversion.Version
	history []Row
	// changedAt is when each version was written.
	changedAt map[rowversion.Version]time.Time
}

func (s *modelStore) write(now time.Time, key string, deleted bool) {
	s.version++
	r := row(key, s.version)
	r.Deleted = deleted
	s.history = append(s.history, r)
	s.changedAt[s.version] = now
}

// stateAt returns the rows as of a version.
func (s *modelStore) stateAt(version rowversion.Version) map[string]rowversion.Version {
	rows := make(map[string]rowversion.Version)
	for _, r := range s.history {
		if r.Version > version {
			break
		}
		if r.Deleted {
			delete(rows, r.Key)
		} else {
			rows[r.Key] = r.Version
		}
	}
	return rows
}

func (s *modelStore) snapshot() Batch {
	batch := Batch{Full: true, Version: s.version}
	live := s.stateAt(s.version)
	for _, r := range s.history {
		if live[r.Key] == r.Version {
			batch.Rows = append(batch.Rows, r)
		}
	}
	return batch
}

func (s *modelStore) changes(after rowversion.Version) Batch {
	latest := make(map[string]Row)
	for _, r := range s.history {
		if r.Version > after {
			latest[r.Key] = r
		}
	}
	batch := Batch{After: after, Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		batch.Rows = append(batch.Rows, latest[key])
	}
	slices.SortFunc(batch.Rows, func(a, b Row) int { return int(a.Version) - int(b.Version) })
	return batch
}

// follower is a cache with the rows that an observer of its changes knows.
type follower struct {
	cache    Cache
	observed map[string]rowversion.Version
}

func (f *follower) observe(change Change) {
	if change.Replaced {
		f.observed = make(map[string]rowversion.Version)
	}
	for _, r := range change.Rows {
		if r.Deleted {
			delete(f.observed, r.Key)
		} else {
			f.observed[r.Key] = r.Version
		}
	}
}

// TestRandomisedCaches guards against copies that differ from the table when batches of changes, late ones and whole
// tables among them, are passed between instances in any order, and against a copy that counts as confirmed at a time
// at which it was not complete.
func TestRandomisedCaches(t *testing.T) {
	seed, steps := testenv.Seed(t, 1), testenv.Steps(t, 200_000)
	random := rand.New(rand.NewPCG(seed, 0))
	for done := uint64(0); done < steps; done += runLength {
		if !runCaches(t, random) {
			t.Fatalf("HYSSOPHOIST_SEED=%d HYSSOPHOIST_STEPS=%d", seed, steps)
		}
	}
}

const runLength = 400

// message is a batch on its way to a follower. Its age counts from sentAt.
type message struct {
	to     int
	batch  Batch
	sentAt time.Time
}

// takeMessage removes a random message from those on their way and returns it with the age that it has at time now.
func takeMessage(random *rand.Rand, now time.Time, pending *[]message) (m message, found bool) {
	if len(*pending) == 0 {
		return message{}, false
	}
	k := random.IntN(len(*pending))
	m = (*pending)[k]
	*pending = slices.Delete(*pending, k, k+1)
	m.batch.Age += now.Sub(m.sentAt)
	return m, true
}

func runCaches(t *testing.T, random *rand.Rand) bool {
	store := &modelStore{changedAt: make(map[rowversion.Version]time.Time)}
	followers := make([]*follower, 4)
	for i := range followers {
		followers[i] = &follower{observed: make(map[string]rowversion.Version)}
	}
	var pending []message
	now := start
	for range runLength {
		now = now.Add(time.Duration(1+random.IntN(200)) * time.Millisecond)
		i, j := random.IntN(len(followers)), random.IntN(len(followers))
		f := followers[i]
		switch random.IntN(8) {
		case 0, 1:
			store.write(now, string(rune('a'+random.IntN(6))), random.IntN(3) == 0)
		case 2:
			batch := store.changes(f.cache.Version())
			if !f.cache.Loaded() || random.IntN(8) == 0 {
				batch = store.snapshot()
			}
			f.observe(f.cache.ApplyRead(now, batch))
		case 3:
			f.cache.RecordFailure(now)
		case 4, 5:
			if batch := followers[j].cache.Since(now, f.cache.State(now)); batch != nil {
				pending = append(pending, message{to: i, batch: *batch, sentAt: now})
			}
		default:
			if m, found := takeMessage(random, now, &pending); found {
				to := followers[m.to]
				to.observe(to.cache.ApplyShared(now, m.batch))
			}
		}
		for n, f := range followers {
			if problem := checkFollower(store, f); problem != "" {
				t.Errorf("follower %d: %s", n, problem)
				return false
			}
		}
	}
	return true
}

// checkFollower returns how a follower differs from the table, or "" if it does not.
func checkFollower(store *modelStore, f *follower) string {
	if !f.cache.Loaded() {
		return ""
	}
	want := store.stateAt(f.cache.Version())
	if !maps.Equal(f.observed, want) {
		return fmt.Sprintf("observed %v, want %v at version %d", f.observed, want, f.cache.Version())
	}
	for version := f.cache.Version() + 1; version <= store.version; version++ {
		if store.changedAt[version].Before(f.cache.ConfirmedAt()) {
			return fmt.Sprintf("version %d counts as complete %v after version %d was written", f.cache.Version(),
				f.cache.ConfirmedAt().Sub(store.changedAt[version]), version)
		}
	}
	return ""
}
